// Command standin runs one stand-in for a part of the platform, for tests and trials; it is not for production.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kong"
	"github.com/coder/quartz"
	"github.com/rotisserie/eris"

	"shallotring.dev/daemon/program"
	"shallotring.dev/standin/engine"
	"shallotring.dev/standin/hosts"
	"shallotring.dev/standin/keyvalue"
	"shallotring.dev/standin/service"
	"shallotring.dev/standin/weights"
	"shallotring.dev/state/ident"
	"shallotring.dev/transport/server"
)

type commandLine struct {
	KeyValue keyValueCommand `cmd:"" name:"keyvalue" help:"Key-value service (etcd v3 JSON gateway)."`
	Weights  weightsCommand  `cmd:"" help:"Weight store with a limited rate of loads."`
	Engine   engineCommand   `cmd:"" help:"Model engine with adapter slots."`
	Service  serviceCommand  `cmd:"" help:"Plain service that records each call that it executes in a journal."`
	Hosts    hostsCommand    `cmd:"" help:"List of live and leaving hosts."`
	Version  versionCommand  `cmd:"" help:"Print the version."`
}

type listenFlag struct {
	Listen string `required:"" placeholder:"IP:PORT" help:"Address to listen on; must be on loopback."`
}

func main() {
	c := kong.Parse(&commandLine{}, kong.Name("standin"), kong.Description("Stand-ins for the parts of the platform, for tests and trials."))
	c.FatalIfErrorf(c.Run())
}

// serve runs the handler until the first signal.
func (l listenFlag) serve(handler http.Handler) (err error) {
	s, err := server.Listen(l.Listen, handler)
	if err != nil {
		return err
	}
	ctx, cancel := program.Context(slog.New(slog.NewJSONHandler(os.Stderr, nil)), func() { _ = s.Close() })
	defer cancel()
	context.AfterFunc(ctx, func() { _ = s.Close() })
	fmt.Println("listening on", s.Addr())
	return s.Serve()
}

type keyValueCommand struct {
	listenFlag `embed:""`
	Data       string `placeholder:"FILE" help:"File that the data are read from at the start, if it exists, and written to at the end."`
}

// Run serves the key-value stand-in.
func (c *keyValueCommand) Run() (err error) {
	s := keyvalue.New()
	defer s.Close()
	if err = s.Load(c.Data); err != nil {
		return err
	}
	if err = c.serve(s.Handler()); err != nil {
		return err
	}
	return s.Save(c.Data)
}

type weightsCommand struct {
	listenFlag `embed:""`
	Rate       float64       `default:"4" help:"Loads per second."`
	LoadTime   time.Duration `default:"250ms" help:"Duration of one load."`
	Parallel   int           `default:"8" help:"Number of loads in flight beyond which each load takes longer."`
}

// Run serves the weight store stand-in.
func (c *weightsCommand) Run() (err error) {
	return c.serve(weights.New(weights.WithRate(c.Rate, c.Parallel), weights.WithLoadTime(c.LoadTime, c.Parallel)))
}

type engineCommand struct {
	listenFlag    `embed:""`
	BaseModel     string        `default:"base" help:"Name of the base model."`
	Weights       string        `required:"" placeholder:"URL" help:"Base URL of the weight store."`
	Slots         int           `default:"8" help:"Number of adapter slots."`
	BatchSize     int           `default:"16" help:"Number of requests that run at the same time."`
	TokenInterval time.Duration `default:"1ms" help:"Time between two tokens; 0 generates all tokens without a delay."`
	ChecksFencing bool          `help:"Refuse commands with a stale fencing number."`
}

// Run serves the engine stand-in.
func (c *engineCommand) Run() (err error) {
	e := engine.New(ident.BaseModel(c.BaseModel), &weights.Client{BaseURL: c.Weights},
		engine.WithSlots(c.Slots, c.BatchSize), engine.WithTokenInterval(c.TokenInterval), engine.WithFencing(c.ChecksFencing))
	return c.serve(e.Handler())
}

type serviceCommand struct {
	listenFlag `embed:""`
}

// Run serves the plain service stand-in.
func (c *serviceCommand) Run() (err error) {
	return c.serve(service.New().Handler())
}

type hostsCommand struct {
	listenFlag `embed:""`
	Lag        time.Duration `default:"2s" help:"Time after which a change becomes visible."`
	Host       []string      `help:"Names of the live hosts."`
}

// Run serves the host list stand-in.
func (c *hostsCommand) Run() (err error) {
	l := hosts.New(quartz.NewReal(), c.Lag)
	for _, h := range c.Host {
		l.Set(hosts.HostState{Host: ident.Host(h)})
	}
	return c.serve(l)
}

type versionCommand struct{}

// Run prints the commit that the program was built from or, without one, the version of its module.
func (*versionCommand) Run(k *kong.Context) (err error) {
	_, err = fmt.Fprintln(k.Stdout, "standin", program.Version())
	return eris.Wrap(err, "print the version")
}
