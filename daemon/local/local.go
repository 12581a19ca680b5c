package local

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"shallotring.dev/coordination/registry"
	"shallotring.dev/daemon/entry"
	"shallotring.dev/daemon/node"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/resource"
	"shallotring.dev/transport/settings"
	"shallotring.dev/transport/timeline"
)

// entryHost is the host name under which the entry registers.
const entryHost ident.Host = "host-entry-1"

// Deployment is one entry, an agent for each endpoint and the embedded platform, all in one process.
type Deployment struct {
	address       string
	adminAddress  string
	tokenInterval time.Duration
	logOutput     io.Writer
	logLevel      slog.Level
	callers       []resource.Caller
	tls           settings.TLS

	platform *Platform
	entry    *node.Entry
	agents   map[ident.Endpoint]*node.Agent
}

// Option configures a new Deployment.
type Option func(*Deployment)

// WithAddresses sets the addresses of the callers' listener and of the entry's admin port.
func WithAddresses(address, adminAddress string) Option {
	return func(d *Deployment) { d.address, d.adminAddress = address, adminAddress }
}

// WithLog sets the writer of the timeline and the lowest level that is written.
func WithLog(out io.Writer, level slog.Level) Option {
	return func(d *Deployment) { d.logOutput, d.logLevel = out, level }
}

// WithTokenInterval sets the time between two tokens of the engines.
func WithTokenInterval(interval time.Duration) Option {
	return func(d *Deployment) { d.tokenInterval = interval }
}

// WithCallers declares callers; the entry then refuses requests that do not carry the token of one of them.
func WithCallers(callers ...resource.Caller) Option {
	return func(d *Deployment) { d.callers = callers }
}

// WithTLS makes the key-value stand-in, the callers' listener and all calls between the processes use TLS, all with the same
// files. The callers' listener requests no client certificate.
func WithTLS(tls settings.TLS) Option { return func(d *Deployment) { d.tls = tls } }

// New starts the stand-ins, declares the resources of the example deployment and opens the listeners.
func New(ctx context.Context, options ...Option) (d *Deployment, err error) {
	d = &Deployment{
		address: "127.0.0.1:8080", adminAddress: "127.0.0.1:8081", tokenInterval: defaultTokenInterval,
		logOutput: os.Stderr, logLevel: slog.LevelInfo, agents: make(map[ident.Endpoint]*node.Agent),
	}
	for _, o := range options {
		o(d)
	}
	if d.platform, err = newPlatform(d.tokenInterval, d.tls); err != nil {
		return nil, err
	}
	if err = declareResources(ctx, d.keyValueService(), d.callers); err != nil {
		return nil, err
	}
	for name := range d.platform.urls {
		if d.agents[name], err = d.newAgent(name); err != nil {
			return nil, err
		}
	}
	d.entry, err = d.newEntry()
	return d, err
}

func (d *Deployment) newAgent(name ident.Endpoint) (a *node.Agent, err error) {
	s := node.DefaultAgentSettings()
	s.Identity = settings.Identity{Host: hostOf(name), Zone: zone}
	s.Service, s.PeerTLS = d.keyValueService(), d.tls
	s.Endpoint, s.BaseURL = name, d.platform.urls[name]
	s.PeerAddress, s.AdminAddress = anyPort, anyPort
	process, log := d.newProcess(registry.RoleAgent, s.Identity)
	return node.NewAgent(s, log, process)
}

func (d *Deployment) keyValueService() node.Service {
	return node.Service{KeyValue: []string{d.platform.keyValueURL}, KeyValueTLS: d.tls}
}

func (d *Deployment) newEntry() (e *node.Entry, err error) {
	s := node.EntrySettings{Settings: entry.DefaultSettings(), Service: d.keyValueService()}
	s.Identity = settings.Identity{Host: entryHost, Zone: zone}
	s.Address, s.AdminAddress, s.PeerAddress = d.address, d.adminAddress, anyPort
	s.TLS = settings.TLS{CertFile: d.tls.CertFile, KeyFile: d.tls.KeyFile}
	s.PeerTLS = d.tls
	s.AllowAnonymous = len(d.callers) == 0
	// There is no load balancer in front of the local entry.
	s.BalancerWait = 0
	process, log := d.newProcess(registry.RoleEntry, s.Identity)
	return node.NewEntry(s, log, process)
}

func (d *Deployment) newProcess(role registry.Role, i settings.Identity) (process ident.Process, log *timeline.Log) {
	process = ident.NewProcess(string(role))
	return process, timeline.New(d.logOutput, timeline.Process{ID: process, Role: string(role), Host: i.Host, Zone: i.Zone}, d.logLevel)
}

// Address returns the address of the callers' listener.
func (d *Deployment) Address() string { return d.entry.Addr() }

// AdminAddress returns the address of the entry's admin port.
func (d *Deployment) AdminAddress() string { return d.entry.AdminAddr() }

// Platform returns the embedded platform.
func (d *Deployment) Platform() *Platform { return d.platform }

// Run serves until ctx is cancelled; the agents drain after the entry has finished its requests.
func (d *Deployment) Run(ctx context.Context) (err error) {
	defer func() { err = eris.Wrap(err, "run the local deployment") }()
	defer d.platform.close(ctx)
	agentContext, drainAgents := context.WithCancel(context.WithoutCancel(ctx))
	defer drainAgents()
	var wg sync.WaitGroup
	failures := make(chan error, len(d.agents)+1)
	for _, a := range d.agents {
		wg.Go(func() { failures <- a.Run(agentContext) })
	}
	err = d.entry.Run(ctx)
	drainAgents()
	wg.Wait()
	close(failures)
	for f := range failures {
		err = errors.Join(err, f)
	}
	return err
}
