package live

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"shallotring.dev/platform/standin"
	"shallotring.dev/standin/link"
)

const (
	controlPort  = 7380
	frontPort    = 8149
	readyPort    = 8141
	endpointPort = 9000
	storePort    = 8142

	hostName  = "soak.example"
	modelName = "base"
	places    = 4
	loadTime  = 60 * time.Millisecond
	grace     = 8 * time.Second
	// heartbeat is the interval in which endpoints write their entries; after three the platform removes an entry.
	heartbeat = 1200 * time.Millisecond
	// plainServices are the services without models.
	plainServices = 3
)

// endpoint is a stand-in on a host of its own; engines have an agent beside them.
type endpoint struct {
	*standin.Engine
	name string
	// inner is the address that the endpoint itself listens on, behind its links.
	inner string
	// calls leads from entries to the endpoint, control from entries to its agent.
	calls   *link.Link
	control *link.Link
	agent   *process
	// store leads from the agent to the store.
	store *link.Link

	mu     sync.Mutex
	server *http.Server
	lives  int
	// silent endpoints write no entries.
	silent bool
}

// entry is an entry process with the links to it and from it.
type entry struct {
	*process
	url   string
	front *link.Link
	store *link.Link
	// rotation says whether the platform sends new connections here.
	rotation atomic.Bool
}

// deployment is a running system with its stand-ins.
type deployment struct {
	options Options
	judge   *judge
	// network is the second byte of all addresses.
	network  int
	store    *standin.Store
	listener *http.Server
	engines  []*endpoint
	plain    []*endpoint
	entries  []*entry
	links    []*link.Link
	// writing serialises operators; version is that of the newest configuration.
	writing sync.Mutex
	version atomic.Int64
}

// address returns an address of the run's own loopback network: the group of hosts, the number of the host.
func (d *deployment) address(group, host int) string {
	return fmt.Sprintf("127.%d.%d.%d", d.network, group*2+host/200, 1+host%200)
}

// listen takes the first network that no other run uses, for its store.
func (d *deployment) listen() (err error) {
	const first, last = 16, 254
	for d.network = first; d.network <= last; d.network++ {
		if d.listener, err = serve(join(d.address(0, 0), storePort), d.store); err == nil {
			return nil
		}
	}
	return err
}

func join(ip string, port int) string { return net.JoinHostPort(ip, fmt.Sprint(port)) }

// open starts the stand-ins and the programs of a deployment.
func open(o Options, j *judge) (d *deployment, err error) {
	defer func() { err = eris.Wrap(err, "open deployment") }()
	d = &deployment{options: o, judge: j, store: standin.NewStore()}
	if err = d.listen(); err != nil {
		return nil, err
	}
	for i := range o.Engines {
		if err = d.addEndpoint(fmt.Sprint("engine-", i), i, "llm"); err != nil {
			return d, err
		}
	}
	for i := range plainServices {
		if err = d.addEndpoint(fmt.Sprint("plain-", i), o.Engines+i, fmt.Sprint("plain-", i%2)); err != nil {
			return d, err
		}
	}
	for i := range o.Entries {
		if err = d.addEntry(i); err != nil {
			return d, err
		}
	}
	return d, nil
}

// link opens a link that closes with the deployment.
func (d *deployment) link(listen, target string) (l *link.Link, err error) {
	if l, err = link.New(listen, target); err == nil {
		d.links = append(d.links, l)
	}
	return l, err
}

// storeLink opens a process's own link to the store.
func (d *deployment) storeLink(host int) (l *link.Link, at string, err error) {
	at = join(d.address(5, host), storePort)
	l, err = d.link(at, join(d.address(0, 0), storePort))
	return l, at, err
}

func (d *deployment) addEndpoint(name string, host int, service string) (err error) {
	inner, outer := d.address(1, host), d.address(2, host)
	e := &endpoint{name: name, inner: join(inner, endpointPort)}
	options := []standin.EngineOption{
		standin.WithJournal(func(a standin.Arrival) { d.judge.arrived(e, a) }),
		standin.WithPace(events, 10*time.Millisecond),
	}
	if service == "llm" {
		options = append(options, standin.WithModel(modelName, places, loadTime))
	}
	e.Engine = standin.NewEngine(d.store, name+"-1", service, join(outer, endpointPort), "a", options...)
	if e.calls, err = d.link(join(outer, endpointPort), e.inner); err != nil {
		return err
	}
	if service != "llm" {
		d.plain = append(d.plain, e)
		return e.begin(false)
	}
	d.engines = append(d.engines, e)
	d.judge.engines[join(outer, endpointPort)] = true
	if e.control, err = d.link(join(outer, controlPort), join(inner, controlPort)); err != nil {
		return err
	}
	toStore, at, err := d.storeLink(host)
	if err != nil {
		return err
	}
	e.store = toStore
	e.agent = &process{host: "side-" + name, program: filepath.Join(d.options.Programs, "agent"), dir: d.options.Dir, judge: d.judge, settings: standin.Settings{
		Host: "side-" + name, Zone: "a", IP: inner, Store: at, Control: controlPort, Grace: grace, Engine: e.inner, Service: service,
	}}
	if err = e.agent.write(); err != nil {
		return err
	}
	if err = e.begin(false); err != nil {
		return err
	}
	return e.agent.start()
}

func (d *deployment) addEntry(i int) (err error) {
	toStore, at, err := d.storeLink(d.options.Engines + plainServices + i)
	if err != nil {
		return err
	}
	inner, outer := d.address(3, i), d.address(4, i)
	e := &entry{url: join(outer, frontPort), store: toStore, process: &process{
		host: fmt.Sprint("edge-", i), program: filepath.Join(d.options.Programs, "entry"), dir: d.options.Dir, judge: d.judge, settings: standin.Settings{
			Host: fmt.Sprint("edge-", i), Zone: "a", IP: inner, Store: at, Control: controlPort, Grace: grace,
			Front: join(inner, frontPort), Ready: join(inner, readyPort),
		}}}
	if e.front, err = d.link(e.url, join(inner, frontPort)); err != nil {
		return err
	}
	d.entries = append(d.entries, e)
	if err = e.write(); err != nil {
		return err
	}
	return e.start()
}

// close ends the programs, checks their logs and closes the stand-ins.
func (d *deployment) close() (err error) {
	processes := []*process{}
	for _, e := range d.entries {
		processes = append(processes, e.process)
	}
	for _, e := range d.engines {
		if e.agent != nil {
			processes = append(processes, e.agent)
		}
	}
	var wg sync.WaitGroup
	for _, p := range processes {
		wg.Go(p.stop)
	}
	wg.Wait()
	for _, p := range processes {
		text, failed := p.crashed()
		err = errors.Join(err, failed)
		if text != "" {
			d.judge.violate("processes", "%s: %s", p.host, text)
		}
	}
	for _, e := range append(d.engines, d.plain...) {
		e.crash()
	}
	for _, l := range d.links {
		err = errors.Join(err, l.Close())
	}
	return errors.Join(err, d.listener.Close())
}

func serve(at string, h http.Handler) (s *http.Server, err error) {
	l, err := net.Listen("tcp", at)
	if err != nil {
		return nil, err
	}
	s = &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	// The error says that the server was closed.
	go func() { _ = s.Serve(l) }()
	return s, nil
}

// begin starts a life of the endpoint, under a new id or that of its last life.
func (e *endpoint) begin(renamed bool) (err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server != nil {
		return nil
	}
	e.lives++
	if renamed {
		e.Rename(fmt.Sprintf("%s-%d", e.name, e.lives))
	}
	e.silent = false
	e.Start()
	e.server, err = serve(e.inner, e.Engine)
	return err
}

// crash ends the endpoint's life without notice.
func (e *endpoint) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server != nil {
		// Connections that fail to close are gone already.
		_ = e.server.Close()
		e.server = nil
	}
}

// beat writes the endpoint's entry while it lives, and removes it later.
func (e *endpoint) beat(done <-chan struct{}) {
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	for missed := 0; ; {
		select {
		case <-done:
			return
		case <-t.C:
		}
		e.mu.Lock()
		alive := e.server != nil && !e.silent
		e.mu.Unlock()
		if alive {
			missed = 0
			e.Register()
		} else if missed++; missed == 3 {
			e.Remove()
		}
	}
}
