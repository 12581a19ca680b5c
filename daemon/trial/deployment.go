package trial

import (
	"context"
	"encoding/json"
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
	"shallotring.dev/standin/platform"
)

const (
	// Places is the number of adapters that each engine holds.
	Places = 2
	// engines is the number of model engines, each on a loopback address of its own: the agents' port is the same on all hosts.
	engines = 2
	// loadTime is the time in which an engine loads an adapter.
	loadTime = 20 * time.Millisecond
	// Host is the host name of all routes.
	Host = "trial.example"
	// Model is the base model of the engines.
	Model = "m"
)

// Deployment is one entry, two engines with their agents and one plain service.
type Deployment struct {
	Store   *platform.Store
	Engines []*platform.Engine
	Service *platform.Engine
	// Front and Ready are the entry's addresses.
	Front string
	Ready string

	listeners []*http.Server
	programs  sync.WaitGroup
	mu        sync.Mutex
	err       error
}

// Start starts all parts; the programs drain when the context ends, and Wait waits for them.
func Start(ctx context.Context, log *slog.Logger) (d *Deployment, err error) {
	defer func() { err = eris.Wrap(err, "start trial") }()
	d = &Deployment{Store: platform.NewStore()}
	store, err := d.serve("127.0.0.1", d.Store)
	if err != nil {
		return nil, err
	}
	port, err := freePort("127.0.0.2")
	if err != nil {
		return nil, err
	}
	common := fmt.Sprintf("zone=a\nportRange=%d,%d\nplatform.address=%s\nbounds.graceS=2\nbounds.budgetRatio=0.2\nbounds.budgetExtra=50\n", port, port, store)
	for i := range engines {
		ip := fmt.Sprintf("127.0.0.%d", i+2)
		e, address, err := d.engine(ip, fmt.Sprint("i-", i), "llm", platform.WithModel(Model, Places, loadTime))
		if err != nil {
			return nil, err
		}
		d.Engines = append(d.Engines, e)
		s, err := boot.Parse([]byte(common + fmt.Sprintf("node=side-%d\nip=%s\napp=%s\nservice=llm\n", i, ip, address)))
		if err != nil {
			return nil, err
		}
		d.run(func() error { return direct.NewAgent(s, log).Run(ctx, "") })
	}
	if d.Service, _, err = d.engine("127.0.0.1", "i-s", "plain"); err != nil {
		return nil, err
	}
	var ports [2]int
	for i := range ports {
		if ports[i], err = freePort("127.0.0.1"); err != nil {
			return nil, err
		}
	}
	d.Front, d.Ready = fmt.Sprint("127.0.0.1:", ports[0]), fmt.Sprint("127.0.0.1:", ports[1])
	s, err := boot.Parse([]byte(common + "node=edge-1\nip=127.0.0.1\nlisten.front=" + d.Front + "\nlisten.ready=" + d.Ready + "\n"))
	if err != nil {
		return nil, err
	}
	d.run(func() error { return direct.NewEntry(s, log).Run(ctx, "") })
	return d, d.Configure(1)
}

// Configure writes a configuration with the routes /g/ for generations and /o/ for orders.
func (d *Deployment) Configure(version int) (err error) {
	c := map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{"name": "g", "host": Host, "prefix": "/g/", "kind": "streaming", "timeoutMs": 5000, "latencyGoalMs": 1000, "maxAttempts": 1, "service": "llm"},
			map[string]any{"name": "o", "host": Host, "prefix": "/o/", "kind": "non_idempotent", "timeoutMs": 2000, "latencyGoalMs": 150, "maxAttempts": 1, "service": "plain"},
		},
		"services": []any{
			map[string]any{"name": "llm", "maxConns": 100, "engine": map[string]any{"maxAdapters": Places, "slots": 64, "models": []any{map[string]any{"name": Model}}}},
			map[string]any{"name": "plain", "maxConns": 100},
		},
		"limits": map[string]any{"maxBodyBytes": 1 << 20},
	}
	b, err := json.Marshal(c)
	if err != nil {
		return eris.Wrap(err, "encode configuration")
	}
	d.Store.Put("op/config", b)
	return nil
}

// Wait waits until the programs have ended and closes the stand-ins; it returns the programs' errors.
func (d *Deployment) Wait() (err error) {
	d.programs.Wait()
	for _, s := range d.listeners {
		s.Close()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.err
}

// Faults lists what the engines saw that must never happen.
func (d *Deployment) Faults() (list []string) {
	for _, e := range d.Engines {
		list = append(list, e.Faults()...)
	}
	return list
}

func (d *Deployment) run(program func() error) {
	d.programs.Go(func() {
		if err := program(); err != nil {
			d.note(err)
		}
	})
}

func (d *Deployment) note(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.err = errors.Join(d.err, err)
}

func (d *Deployment) engine(ip, id, service string, options ...platform.EngineOption) (e *platform.Engine, address string, err error) {
	// The address is known only once the listener is open, and the engine needs it.
	var handler http.Handler
	if address, err = d.serve(ip, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { handler.ServeHTTP(w, r) })); err != nil {
		return nil, "", err
	}
	e = platform.NewEngine(d.Store, id, service, address, "a", options...)
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
	d.listeners = append(d.listeners, s)
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			d.note(err)
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
