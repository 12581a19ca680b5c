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

	hostName     = "soak.example"
	modelName    = "base"
	adapterSlots = 4
	// batchSize is so small that the adapters that callers request most are loaded into several engines.
	batchSize   = 8
	loadTime    = 60 * time.Millisecond
	gracePeriod = 8 * time.Second
	// heartbeatInterval is the interval at which endpoints write their registrations to the store; the platform removes a
	// registration after three missed ones.
	heartbeatInterval = 1200 * time.Millisecond
	// plainEndpointCount is the number of endpoints of plain services, which run no models.
	plainEndpointCount = 3
)

// endpoint is a stand-in of an engine or a plain service on its own host; each engine has an agent beside it.
type endpoint struct {
	*standin.Engine
	name string
	// listenAddress is the address on which the endpoint itself listens, behind its links.
	listenAddress string
	// callLink leads from entries to the endpoint, controlLink from entries to its agent.
	callLink    *link.Link
	controlLink *link.Link
	agent       *process
	// storeLink leads from the agent to the store.
	storeLink *link.Link

	mu           sync.Mutex
	server       *http.Server
	incarnations int
	// heartbeatPaused is set while the endpoint does not renew its registration.
	heartbeatPaused bool
}

// entry is an entry process with its links: frontLink from callers to the entry, storeLink from the entry to the store.
type entry struct {
	*process
	// frontAddress is the address at which callers reach the entry.
	frontAddress string
	frontLink    *link.Link
	storeLink    *link.Link
	// inRotation reports whether the platform sends new connections to this entry.
	inRotation atomic.Bool
}

// deployment is a running system with its stand-ins.
type deployment struct {
	options Options
	judge   *judge
	// networkOctet is the second byte of all addresses of the run.
	networkOctet   int
	store          *standin.Store
	listener       *http.Server
	engines        []*endpoint
	plainEndpoints []*endpoint
	entries        []*entry
	links          []*link.Link
	// operatorMu serialises the writes of operators. configurationVersion is the version of the newest configuration.
	operatorMu           sync.Mutex
	configurationVersion atomic.Int64
	// closed is set when no endpoint is to be started any more.
	closed atomic.Bool
}

// address returns the address of a host in the run's own loopback network; each kind of process has its own group of hosts:
// 0 is the store, 1 the endpoints with their agents, 2 the links to those, 3 the entries, 4 the links to the entries and 5 the links from
// the processes to the store.
func (d *deployment) address(group, host int) string {
	return fmt.Sprintf("127.%d.%d.%d", d.networkOctet, group*2+host/200, 1+host%200)
}

// listenStore serves the store in the first loopback network that no other run uses.
func (d *deployment) listenStore() (err error) {
	const first, last = 16, 254
	for d.networkOctet = first; d.networkOctet <= last; d.networkOctet++ {
		if d.listener, err = serve(hostPort(d.address(0, 0), storePort), d.store); err == nil {
			return nil
		}
	}
	return err
}

func hostPort(ip string, port int) string { return net.JoinHostPort(ip, fmt.Sprint(port)) }

// openDeployment starts the stand-ins and the programs of a deployment. After an error, the caller closes the deployment if it is
// not nil.
func openDeployment(o Options, j *judge) (d *deployment, err error) {
	defer func() { err = eris.Wrap(err, "open deployment") }()
	d = &deployment{options: o, judge: j, store: standin.NewStore()}
	if err = d.listenStore(); err != nil {
		return nil, err
	}
	for i := range o.Engines {
		if err = d.addEndpoint(fmt.Sprint("engine-", i), i, "llm"); err != nil {
			return d, err
		}
	}
	for i := range plainEndpointCount {
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

// openLink opens a link that is closed with the deployment.
func (d *deployment) openLink(listen, target string) (l *link.Link, err error) {
	if l, err = link.New(listen, target); err == nil {
		d.links = append(d.links, l)
	}
	return l, err
}

// openStoreLink opens a process's own link to the store and returns the address at which the process reaches it.
func (d *deployment) openStoreLink(host int) (l *link.Link, at string, err error) {
	at = hostPort(d.address(5, host), storePort)
	l, err = d.openLink(at, hostPort(d.address(0, 0), storePort))
	return l, at, err
}

func (d *deployment) addEndpoint(name string, host int, service string) (err error) {
	inner, outer := d.address(1, host), d.address(2, host)
	e := &endpoint{name: name, listenAddress: hostPort(inner, endpointPort)}
	options := []standin.EngineOption{
		standin.WithJournal(func(a standin.Arrival) { d.judge.onArrival(e, a) }),
		standin.WithPace(eventsPerStream, 10*time.Millisecond), standin.WithCrash(func() { d.crashOnPoison(e) }),
	}
	if service == "llm" {
		options = append(options, standin.WithModel(modelName, adapterSlots, loadTime), standin.WithBatchSize(batchSize))
	}
	e.Engine = standin.NewEngine(d.store, name+"-1", service, hostPort(outer, endpointPort), "a", options...)
	if e.callLink, err = d.openLink(hostPort(outer, endpointPort), e.listenAddress); err != nil {
		return err
	}
	if service != "llm" {
		d.plainEndpoints = append(d.plainEndpoints, e)
		return e.startServing(false)
	}
	d.engines = append(d.engines, e)
	d.judge.engineAddresses[hostPort(outer, endpointPort)] = true
	if e.controlLink, err = d.openLink(hostPort(outer, controlPort), hostPort(inner, controlPort)); err != nil {
		return err
	}
	toStore, at, err := d.openStoreLink(host)
	if err != nil {
		return err
	}
	e.storeLink = toStore
	e.agent = &process{host: "side-" + name, program: filepath.Join(d.options.Programs, "agent"), dir: d.options.Dir, judge: d.judge, settings: standin.Settings{
		Host: "side-" + name, Zone: "a", IP: inner, Store: at, ControlPort: controlPort, GracePeriod: gracePeriod, Engine: e.listenAddress, Service: service,
	}}
	if err = e.agent.writeSettings(); err != nil {
		return err
	}
	if err = e.startServing(false); err != nil {
		return err
	}
	return e.agent.start()
}

func (d *deployment) addEntry(i int) (err error) {
	toStore, at, err := d.openStoreLink(d.options.Engines + plainEndpointCount + i)
	if err != nil {
		return err
	}
	inner, outer := d.address(3, i), d.address(4, i)
	e := &entry{frontAddress: hostPort(outer, frontPort), storeLink: toStore, process: &process{
		host: fmt.Sprint("edge-", i), program: filepath.Join(d.options.Programs, "entry"), dir: d.options.Dir, judge: d.judge, settings: standin.Settings{
			Host: fmt.Sprint("edge-", i), Zone: "a", IP: inner, Store: at, ControlPort: controlPort, GracePeriod: gracePeriod,
			Front: hostPort(inner, frontPort), Ready: hostPort(inner, readyPort), RevokeTimeout: revokeTimeout,
		}}}
	if e.frontLink, err = d.openLink(e.frontAddress, hostPort(inner, frontPort)); err != nil {
		return err
	}
	d.entries = append(d.entries, e)
	if err = e.writeSettings(); err != nil {
		return err
	}
	return e.start()
}

// close stops the programs, checks their logs and closes the stand-ins.
func (d *deployment) close() (err error) {
	d.closed.Store(true)
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
		text, failed := p.findCrash()
		err = errors.Join(err, failed)
		if text != "" {
			d.judge.addViolation("processes", "%s: %s", p.host, text)
		}
	}
	for _, e := range append(d.engines, d.plainEndpoints...) {
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
	// Serve always returns an error; after a regular close it is http.ErrServerClosed.
	go func() { _ = s.Serve(l) }()
	return s, nil
}

// startServing starts the endpoint under a new id or under that of its previous incarnation. It does nothing if the endpoint runs.
func (e *endpoint) startServing(newID bool) (err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server != nil {
		return nil
	}
	e.incarnations++
	if newID {
		e.Rename(fmt.Sprintf("%s-%d", e.name, e.incarnations))
	}
	e.heartbeatPaused = false
	e.Start()
	if err = e.callLink.Refuse(false); err != nil {
		return err
	}
	e.server, err = serve(e.listenAddress, e.Engine)
	return err
}

// incarnation returns the number of the endpoint's current or last incarnation.
func (e *endpoint) incarnation() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.incarnations
}

// crash closes the endpoint's server and all its connections without a drain.
func (e *endpoint) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopServing()
}

// crashAndRefuse crashes the endpoint like crash, and callers' connections are refused instead of reset until its next start.
func (e *endpoint) crashAndRefuse() (running bool, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if running = e.stopServing(); running {
		err = e.callLink.Refuse(true)
	}
	return running, err
}

// stopServing is crash with the lock held. It reports whether the endpoint was running.
func (e *endpoint) stopServing() (running bool) {
	if e.server == nil {
		return false
	}
	// An error means that a connection was closed already.
	_ = e.server.Close()
	e.server = nil
	return true
}

// sendHeartbeats renews the endpoint's registration while it runs and removes it after three missed heartbeats.
func (e *endpoint) sendHeartbeats(done <-chan struct{}) {
	t := time.NewTicker(heartbeatInterval)
	defer t.Stop()
	for missed := 0; ; {
		select {
		case <-done:
			return
		case <-t.C:
		}
		e.mu.Lock()
		alive := e.server != nil && !e.heartbeatPaused
		e.mu.Unlock()
		if alive {
			missed = 0
			e.Register()
		} else if missed++; missed == 3 {
			e.Remove()
		}
	}
}
