//go:build review

// Command harness plays the cases of the review: it starts the entry and agent programs as separate processes beside stand-ins of the
// platform's store, engines and consumers, and checks one rule of the users' pages.
package main

import (
	"errors"
	"fmt"
	"log"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"shallotring.dev/platform/standin"
)

// The settings are those of the site lusolito-arq, except for the number of machines.
const (
	contact       = 3 * time.Second
	heartbeat     = 1200 * time.Millisecond
	requestHost   = "ficu95.example"
	modelName     = "daka510000"
	engineService = "geo-llm"
	zone          = "alverca-a"
)

// The groups of loopback addresses.
const (
	storeGroup = iota
	engineGroup
	plainGroup
	entryGroup
)

// record is the file that lists what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func openRecord(path string) (r *record, err error) {
	f, err := os.Create(path)
	return &record{file: f, start: time.Now()}, err
}

func (r *record) write(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// A missing line shows in the file, so the error needs no handling.
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// conclude writes the verdict and returns it.
func (r *record) conclude(broken bool, format string, args ...any) bool {
	text := fmt.Sprintf(format, args...)
	verdict := "the rule held: "
	if broken {
		verdict = "the rule was broken: "
	}
	r.write("%s%s", verdict, text)
	fmt.Println(verdict + text)
	return broken
}

// server is a stand-in that listens on a loopback address; while it is stopped, connections to the address are refused.
type server struct {
	address string
	handler http.Handler
	mu      sync.Mutex
	current *http.Server
}

func (s *server) start() (err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != nil {
		return nil
	}
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.current = &http.Server{Handler: s.handler, ReadHeaderTimeout: 5 * time.Second, ErrorLog: log.New(discard{}, "", 0)}
	// Serve returns when the server is closed.
	go func(x *http.Server) { _ = x.Serve(l) }(s.current)
	return nil
}

// stop closes the listener and all connections; running reports whether the server ran.
func (s *server) stop() (running bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == nil {
		return false
	}
	_ = s.current.Close()
	s.current = nil
	return true
}

type discard struct{}

// Write drops the bytes.
func (discard) Write(b []byte) (n int, err error) { return len(b), nil }

// endpoint is a model engine or an instance of a plain service.
type endpoint struct {
	*standin.Engine
	*server
	name string
	// left is set once the endpoint has left discovery for good.
	left atomic.Bool
}

// leave removes the discovery entry of an endpoint that goes on serving.
func (e *endpoint) leave() {
	e.left.Store(true)
	e.Remove()
}

// beat renews the discovery entry, which the store removes after three intervals without a renewal.
func (e *endpoint) beat(done <-chan struct{}) {
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	for missed := 0; ; {
		select {
		case <-done:
			return
		case <-t.C:
		}
		if e.left.Load() {
			return
		}
		e.server.mu.Lock()
		running := e.server.current != nil
		e.server.mu.Unlock()
		if running {
			missed = 0
			e.Register()
		} else if missed++; missed == 3 {
			e.Remove()
		}
	}
}

// process is one program of the project.
type process struct {
	name, program, dir, metrics string
	settings                    string
	mu                          sync.Mutex
	command                     *exec.Cmd
	exited                      chan struct{}
}

func (p *process) start() (err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	file := filepath.Join(p.dir, p.name+".conf")
	if err = os.WriteFile(file, []byte(p.settings), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(p.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	// The deploy file has --metrics=:9464; the processes share one machine here, so each has its own address.
	c := exec.Command(p.program, "platform", "--metrics="+p.metrics)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + p.dir, "LANG=" + os.Getenv("LANG"), "SHALLOTRING_SETTINGS=" + file}
	c.Stdout, c.Stderr = out, out
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err = c.Start(); err != nil {
		return err
	}
	p.command, p.exited = c, make(chan struct{})
	go func(done chan struct{}) {
		// The exit code of a process that was killed says nothing.
		_ = c.Wait()
		close(done)
	}(p.exited)
	return nil
}

func (p *process) signal(s syscall.Signal) (exited <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return nil
	}
	_ = p.command.Process.Signal(s)
	return p.exited
}

func (p *process) kill() {
	if exited := p.signal(syscall.SIGKILL); exited != nil {
		<-exited
	}
}

// fleet is a small deployment on loopback addresses.
type fleet struct {
	*record
	store   *standin.Store
	servers []*server
	engines []*endpoint
	entries []*process
	agents  []*process
	fronts  []string
	ready   []string
	dir     string
	octet   int
	storeAt string
	// entryStoreAt is the address at which entries reach the store; empty for that of the store itself.
	entryStoreAt string
	port         int
	// wrap replaces the handler of an endpoint; nil keeps it.
	wrap func(e *endpoint) http.Handler
	done chan struct{}
	wg   sync.WaitGroup
}

// address returns the loopback address of a machine: each agent has that of its engine.
func (f *fleet) address(group, host int) string {
	return fmt.Sprintf("127.%d.%d.%d", f.octet, group, 1+host)
}

func hostPort(ip string, port int) string { return net.JoinHostPort(ip, fmt.Sprint(port)) }

// newFleet starts the store in a loopback network that is free.
func newFleet(r *record) (f *fleet, err error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f = &fleet{record: r, store: standin.NewStore(), dir: dir, done: make(chan struct{})}
	for f.octet = 20 + os.Getpid()%200; f.octet < 250; f.octet++ {
		for f.port = 17380; f.port < 17480; f.port += 10 {
			f.storeAt = hostPort(f.address(storeGroup, 0), f.port)
			s := &server{address: f.storeAt, handler: f.store}
			if err = s.start(); err == nil {
				f.servers = append(f.servers, s)
				return f, nil
			}
		}
	}
	return nil, err
}

// addEndpoint adds a model engine with its agent, or an instance of a plain service.
func (f *fleet) addEndpoint(name, service, zone string, group, host int, options ...standin.EngineOption) (e *endpoint, err error) {
	at := hostPort(f.address(group, host), f.port+1)
	e = &endpoint{name: name, server: &server{address: at}}
	e.Engine = standin.NewEngine(f.store, name+"-1", service, at, zone, options...)
	e.server.handler = e.Engine
	if f.wrap != nil {
		e.server.handler = f.wrap(e)
	}
	f.servers = append(f.servers, e.server)
	e.Start()
	if err = e.server.start(); err != nil {
		return nil, err
	}
	f.wg.Go(func() { e.beat(f.done) })
	if group == plainGroup {
		return e, nil
	}
	f.engines = append(f.engines, e)
	a := &process{name: "side-" + name, program: "target/agent", dir: f.dir, metrics: hostPort(f.address(group, host), f.port+4)}
	a.settings = f.settings(a.name, "side", zone, f.address(group, host)) + fmt.Sprintf("app=%s\nservice=%s\nlimits.memoryMb=216\n", at, service)
	f.agents = append(f.agents, a)
	return e, a.start()
}

func (f *fleet) addEntry(host int, zone string) (err error) {
	ip := f.address(entryGroup, host)
	front, ready := hostPort(ip, f.port+2), hostPort(ip, f.port+3)
	e := &process{name: fmt.Sprint("edge-", host), program: "target/entry", dir: f.dir, metrics: hostPort(ip, f.port+4)}
	e.settings = f.settings(e.name, "edge", zone, ip) + fmt.Sprintf("listen.front=%s\nlisten.ready=%s\nlimits.memoryMb=284\n", front, ready)
	if f.entryStoreAt != "" {
		e.settings = strings.Replace(e.settings, "platform.address="+f.storeAt, "platform.address="+f.entryStoreAt, 1)
	}
	f.entries, f.fronts, f.ready = append(f.entries, e), append(f.fronts, front), append(f.ready, ready)
	return e.start()
}

func (f *fleet) settings(node, class, zone, ip string) string {
	return strings.Join([]string{
		"node=" + node, "role=" + class, "machineClass=" + class, "serves=" + class, "ip=" + ip, "zone=" + zone, "region=pt-lisboa", "zones." + zone + "=pt-lisboa",
		"listen.control=" + hostPort(ip, f.port+6), fmt.Sprintf("portRange=%d,%d", f.port+5, f.port+5), "seeds=", "bootstrap=true", "inFaultBudget=false", "discovery=platform", "entry=vip", "heartbeatMs=1200",
		"contracts=base,drain,config,cost,retry,recover,fleet,stream,engine,platform", "bounds.contactMs=3000", "bounds.ackMs=4000", "bounds.drainMs=2000", "bounds.graceS=8",
		"bounds.lossSlackMs=200", "bounds.configMs=2000", "bounds.downgradeMs=250", "bounds.maxSkewMs=5000", "bounds.budgetRatio=0.2", "bounds.budgetWindowS=10",
		"bounds.budgetExtra=54", "bounds.recoveryS=12", "bounds.leaseMs=3000", "bounds.thawMs=300", "bounds.enforceFencing=true", "platform.address=" + f.storeAt,
		"platform.form=kv", "platform.writesPerS=400", "platform.readsPerS=2000", "platform.historyS=20",
	}, "\n") + "\n"
}

// waitReady waits until all entries are ready and the engines have had time to load their model.
func (f *fleet) waitReady() (err error) {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, at := range f.ready {
			if r, err := client.Get("http://" + at + "/ready"); err == nil {
				if r.StatusCode == http.StatusOK {
					ready++
				}
				_ = r.Body.Close()
			}
		}
		if ready == len(f.ready) {
			time.Sleep(2 * time.Second)
			return nil
		}
	}
	return errors.New("the entries are not ready after 15 s")
}

func (f *fleet) close() {
	close(f.done)
	for _, p := range append(f.entries, f.agents...) {
		p.kill()
	}
	for _, s := range f.servers {
		s.stop()
	}
	f.wg.Wait()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs:", f.dir)
	}
}

// checkProcesses fails the run if a process has ended by itself.
func (f *fleet) checkProcesses() (err error) {
	for _, p := range append(f.entries, f.agents...) {
		p.mu.Lock()
		exited := p.exited
		p.mu.Unlock()
		select {
		case <-exited:
			err = errors.Join(err, fmt.Errorf("%s has ended", p.name))
		default:
		}
	}
	return err
}
