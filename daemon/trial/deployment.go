package trial

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"shallotring.dev/daemon/direct"
	"shallotring.dev/platform/boot"
	"shallotring.dev/platform/standin"
)

const (
	// AdapterSlots is the number of adapter slots of each engine.
	AdapterSlots = 2
	// engineCount is the number of model engines. Each has its own loopback address, since the port of the agents is the same on all
	// hosts.
	engineCount = 2
	// loadTime is the duration of one load of an adapter.
	loadTime = 20 * time.Millisecond
	// Host is the host name of all routes.
	Host = "trial.example"
	// Model is the base model of the engines.
	Model = "m"
)

// Deployment is one entry, two engines with their agents and one plain service.
type Deployment struct {
	Store   *standin.Store
	Engines []*standin.Engine
	Service *standin.Engine
	// Front and Ready are the entry's addresses.
	Front string
	Ready string

	servers  []*http.Server
	programs sync.WaitGroup
	mu       sync.Mutex
	err      error
}

// Start starts all parts; the options apply to the model engines. The programs drain when the context ends; Wait waits until they have
// exited.
func Start(ctx context.Context, log *slog.Logger, options ...standin.EngineOption) (d *Deployment, err error) {
	defer func() { err = eris.Wrap(err, "start trial") }()
	d = &Deployment{Store: standin.NewStore()}
	store, err := d.serve("127.0.0.1", d.Store)
	if err != nil {
		return nil, err
	}
	controlPort, err := freePort("127.0.0.2")
	if err != nil {
		return nil, err
	}
	settings := standin.Settings{Zone: "a", ControlPort: controlPort, Store: store, GracePeriod: 2 * time.Second}
	for i := range engineCount {
		ip := fmt.Sprintf("127.0.0.%d", i+2)
		e, address, err := d.startEngine(ip, fmt.Sprint("i-", i), "llm", append(options, standin.WithModel(Model, AdapterSlots, loadTime))...)
		if err != nil {
			return nil, err
		}
		d.Engines = append(d.Engines, e)
		agentSettings := settings
		agentSettings.Host, agentSettings.IP, agentSettings.Engine, agentSettings.Service = fmt.Sprint("side-", i), ip, address, "llm"
		s, err := boot.Parse(agentSettings.Encode())
		if err != nil {
			return nil, err
		}
		d.startProgram(func() error { return direct.NewAgent(s, log).Run(ctx, "") })
	}
	if d.Service, _, err = d.startEngine("127.0.0.1", "i-s", "plain"); err != nil {
		return nil, err
	}
	var ports [2]int
	for i := range ports {
		if ports[i], err = freePort("127.0.0.1"); err != nil {
			return nil, err
		}
	}
	d.Front, d.Ready = fmt.Sprint("127.0.0.1:", ports[0]), fmt.Sprint("127.0.0.1:", ports[1])
	settings.Host, settings.IP, settings.Front, settings.Ready = "edge-1", "127.0.0.1", d.Front, d.Ready
	s, err := boot.Parse(settings.Encode())
	if err != nil {
		return nil, err
	}
	d.startProgram(func() error { return direct.NewEntry(s, log).Run(ctx, "") })
	d.Configure(1)
	return d, nil
}

// Configure writes a configuration with the route /g/ to the engines and the route /o/ to the plain service.
func (d *Deployment) Configure(version int64) {
	d.Store.Configure(version, []standin.Route{
		{Host: Host, Prefix: "/g/", Kind: "streaming", Timeout: 5 * time.Second, LatencyGoal: time.Second, Engines: 1, Service: "llm"},
		{Host: Host, Prefix: "/o/", Kind: "non_idempotent", Timeout: 2 * time.Second, LatencyGoal: 150 * time.Millisecond, Engines: 1, Service: "plain"},
	}, []standin.Service{{Name: "llm", Model: Model, AdapterSlots: AdapterSlots}, {Name: "plain"}})
}

// ModelRequest is an example of a request to a model.
func (d *Deployment) ModelRequest(id string) standin.Call {
	return standin.Call{
		ID: id, Method: http.MethodPost, Target: "/g/1", Host: Host, Body: "prompt", Model: Model + "/a1",
		Shared: standin.Part{ID: 1, Tokens: 80}, Own: standin.Part{ID: 2, Tokens: 20}, MaxOutputTokens: 20,
	}
}

// ServiceRequest is an example of a request to the plain service.
func (d *Deployment) ServiceRequest(id string) standin.Call {
	return standin.Call{ID: id, Method: http.MethodPost, Target: "/o/1", Host: Host, Body: "order"}
}

// Wait waits until the programs have exited and closes the stand-ins; it returns the errors of both.
func (d *Deployment) Wait() (err error) {
	d.programs.Wait()
	for _, s := range d.servers {
		s.Close()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.err
}

// Violations lists events at the engines that must never happen.
func (d *Deployment) Violations() (list []string) {
	for _, e := range d.Engines {
		list = append(list, e.Violations()...)
	}
	return list
}

func (d *Deployment) startProgram(program func() error) {
	d.programs.Go(func() {
		if err := program(); err != nil {
			d.recordError(err)
		}
	})
}

func (d *Deployment) recordError(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.err = errors.Join(d.err, err)
}

func (d *Deployment) startEngine(ip, id, service string, options ...standin.EngineOption) (e *standin.Engine, address string, err error) {
	// The address is known only once the listener is open, and the engine needs it.
	var handler http.Handler
	if address, err = d.serve(ip, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { handler.ServeHTTP(w, r) })); err != nil {
		return nil, "", err
	}
	e = standin.NewEngine(d.Store, id, service, address, "a", options...)
	handler = e
	e.Start()
	return e, address, nil
}

func (d *Deployment) serve(ip string, h http.Handler) (address string, err error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	d.servers = append(d.servers, s)
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			d.recordError(err)
		}
	}()
	return l.Addr().String(), nil
}

func freePort(ip string) (port int, err error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return 0, err
	}
	a, _ := l.Addr().(*net.TCPAddr)
	return a.Port, l.Close()
}
