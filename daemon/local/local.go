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

const entryHost ident.Host = "host-entry-1"

// Deployment is a whole deployment in one process.
type Deployment struct {
	address      string
	adminAddress string
	interval     time.Duration
	out          io.Writer
	level        slog.Level
	callers      []resource.Caller
	keys         settings.TLS

	platform *Platform
	entry    *node.Entry
	agents   map[ident.Endpoint]*node.Agent
}

// Option changes a new Deployment.
type Option func(*Deployment)

// WithAddresses replaces the addresses of the callers' listener and of the admin port.
func WithAddresses(address, adminAddress string) Option {
	return func(d *Deployment) { d.address, d.adminAddress = address, adminAddress }
}

// WithLog sets where the timeline goes and the lowest level that is written.
func WithLog(out io.Writer, level slog.Level) Option {
	return func(d *Deployment) { d.out, d.level = out, level }
}

// WithTokenInterval sets the time between two tokens of the engines.
func WithTokenInterval(interval time.Duration) Option {
	return func(d *Deployment) { d.interval = interval }
}

// WithCallers declares callers; the entry then refuses requests without the token of one of them.
func WithCallers(callers ...resource.Caller) Option {
	return func(d *Deployment) { d.callers = callers }
}

// WithKeys lets the key-value stand-in, the callers' listener and all calls between the processes use TLS. The files serve
// all of them; the callers' listener asks for no certificate.
func WithKeys(keys settings.TLS) Option { return func(d *Deployment) { d.keys = keys } }

// New starts the stand-ins, declares the example deployment and opens the listeners.
func New(ctx context.Context, options ...Option) (d *Deployment, err error) {
	d = &Deployment{
		address: "127.0.0.1:8080", adminAddress: "127.0.0.1:8081", interval: tokenInterval,
		out: os.Stderr, level: slog.LevelInfo, agents: make(map[ident.Endpoint]*node.Agent),
	}
	for _, o := range options {
		o(d)
	}
	if d.platform, err = newPlatform(d.interval, d.keys); err != nil {
		return nil, err
	}
	if err = declare(ctx, d.service(), d.callers); err != nil {
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
	s.Service, s.PeerTLS = d.service(), d.keys
	s.Endpoint, s.BaseURL = name, d.platform.urls[name]
	s.PeerAddress, s.AdminAddress = anyPort, anyPort
	process, log := d.process(registry.RoleAgent, s.Identity)
	return node.NewAgent(s, log, process)
}

func (d *Deployment) service() node.Service {
	return node.Service{KeyValue: []string{d.platform.keyValueURL}, KeyValueTLS: d.keys}
}

func (d *Deployment) newEntry() (e *node.Entry, err error) {
	s := node.EntrySettings{Settings: entry.DefaultSettings(), Service: d.service()}
	s.Identity = settings.Identity{Host: entryHost, Zone: zone}
	s.Address, s.AdminAddress, s.PeerAddress = d.address, d.adminAddress, anyPort
	s.TLS = settings.TLS{CertFile: d.keys.CertFile, KeyFile: d.keys.KeyFile}
	s.PeerTLS = d.keys
	s.AllowAnonymous = len(d.callers) == 0
	// No balancer stands before the local entry.
	s.BalancerWait = 0
	process, log := d.process(registry.RoleEntry, s.Identity)
	return node.NewEntry(s, log, process)
}

func (d *Deployment) process(role registry.Role, i settings.Identity) (process ident.Process, log *timeline.Log) {
	process = ident.NewProcess(string(role))
	return process, timeline.New(d.out, timeline.Process{ID: process, Role: string(role), Host: i.Host, Zone: i.Zone}, d.level)
}

// Address returns the address of the callers' listener.
func (d *Deployment) Address() string { return d.entry.Addr() }

// AdminAddress returns the address of the entry's admin port.
func (d *Deployment) AdminAddress() string { return d.entry.AdminAddr() }

// Platform returns the embedded stand-ins.
func (d *Deployment) Platform() *Platform { return d.platform }

// Run serves until ctx ends; the entry finishes its requests before the agents drain.
func (d *Deployment) Run(ctx context.Context) (err error) {
	defer func() { err = eris.Wrap(err, "run the local deployment") }()
	defer d.platform.close(ctx)
	agentContext, drain := context.WithCancel(context.WithoutCancel(ctx))
	defer drain()
	var wg sync.WaitGroup
	failures := make(chan error, len(d.agents)+1)
	for _, a := range d.agents {
		wg.Go(func() { failures <- a.Run(agentContext) })
	}
	err = d.entry.Run(ctx)
	drain()
	wg.Wait()
	close(failures)
	for f := range failures {
		err = errors.Join(err, f)
	}
	return err
}
