// Command entry serves the callers' API and sends each request's tries to the agents of the endpoints.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"

	"shallotring.dev/daemon/entry"
	"shallotring.dev/transport/settings"
)

type program struct {
	Settings string  `help:"Settings file (TOML)." type:"existingfile" placeholder:"FILE"`
	Run      run     `cmd:"" default:"1" hidden:"" help:"Serve the callers' API."`
	Check    check   `cmd:"" help:"Check a settings file."`
	Version  version `cmd:"" help:"Print the version."`
}

type run struct{}

// Run serves until the first signal and then stops gracefully; the second signal interrupts the requests in progress.
func (run) Run(p *program) (err error) {
	if p.Settings == "" {
		return fmt.Errorf("--settings: must name a file")
	}
	s, err := load(p.Settings)
	if err != nil {
		return err
	}
	e, err := entry.New(s, options(s)...)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		cancel()
		e.Abort("second signal: " + (<-signals).String())
	}()
	return e.Run(ctx)
}

// options connects the entry to the sources of its state. The client of the key-value service provides them; until it is
// connected here, entry.New refuses to start.
func options(entry.Settings) []entry.Option { return nil }

type check struct {
	File string `arg:"" type:"existingfile" help:"Settings file."`
}

// Run prints the first error of the file, which names file, key and reason.
func (c check) Run() (err error) {
	if _, err = load(c.File); err != nil {
		return err
	}
	_, err = fmt.Println(c.File + ": ok")
	return err
}

type version struct{}

// Run prints the version of the module and of the language.
func (version) Run() (err error) {
	text := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		text = info.Main.Version + " " + info.GoVersion
	}
	_, err = fmt.Println("entry " + text)
	return err
}

func load(file string) (s entry.Settings, err error) {
	s = entry.DefaultSettings()
	err = settings.Load(file, &s)
	return s, err
}

func main() {
	p := &program{}
	k := kong.Parse(p, kong.Name("entry"), kong.Description("Serves the callers' API of a shallotring deployment."))
	k.FatalIfErrorf(k.Run(p))
}
