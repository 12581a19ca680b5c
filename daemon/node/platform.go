package node

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/coder/quartz"
	"github.com/rotisserie/eris"

	"shallotring.dev/coordination/configuration"
	"shallotring.dev/coordination/registry"
	"shallotring.dev/protocol/keyvalue"
	"shallotring.dev/protocol/roundtrip"
	"shallotring.dev/protocol/socket"
	"shallotring.dev/protocol/wire"
	"shallotring.dev/state/ident"
	"shallotring.dev/transport/server"
	"shallotring.dev/transport/settings"
	"shallotring.dev/transport/timeline"
)

// initialViewTimeout bounds the wait for the list of entries at the start. A process that knows no entry reads the whole
// configuration from the key-value service, which would overload it if all processes of a fleet started at once.
const initialViewTimeout = time.Second

// maxIdlePeerConnections bounds the idle connections to one peer or to the key-value service.
const maxIdlePeerConnections = 16

// dialTimeout bounds the time to connect to a peer or to the key-value service.
const dialTimeout = time.Second

// Service has the addresses of the key-value service and of peers that can replace it at the start.
type Service struct {
	// KeyValue lists the base URLs of the key-value service.
	KeyValue []string
	// Peers lists the IP:port of entries from which the configuration is read if the service is down at the start.
	Peers []string
	// KeyValueTLS has the certificates and the key for connections to the key-value service.
	KeyValueTLS settings.TLS
}

// Check returns an error if the settings name no service or have invalid addresses.
func (s Service) Check() (err error) {
	if len(s.KeyValue) == 0 {
		return eris.New("KeyValue: must name at least one URL")
	}
	for _, u := range s.KeyValue {
		if err = settings.CheckURL("KeyValue", u); err != nil {
			return err
		}
		if s.secure() && !strings.HasPrefix(u, "https://") {
			return eris.Errorf("KeyValue: %q must be an https URL, because KeyValueTLS is set", u)
		}
	}
	for _, p := range s.Peers {
		if err = settings.CheckAdvertisedAddress("Peers", p); err != nil {
			return err
		}
	}
	if err = settings.CheckDistinct("KeyValue", s.KeyValue); err != nil {
		return err
	}
	if err = settings.CheckDistinct("Peers", s.Peers); err != nil {
		return err
	}
	return eris.Wrap(s.KeyValueTLS.Check(), "KeyValueTLS")
}

func (s Service) secure() bool { return s.KeyValueTLS.Enabled() || s.KeyValueTLS.CAFile != "" }

// Client returns a client of the key-value service.
func (s Service) Client(options ...keyvalue.Option) (c *keyvalue.Client, err error) {
	if !s.secure() {
		return keyvalue.New(s.KeyValue, options...)
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	dial, err := server.DialTLS(s.KeyValueTLS, socket.Dial(dialer.DialContext))
	if err != nil {
		return nil, err
	}
	t := &http.Transport{DialTLSContext: dial, MaxIdleConnsPerHost: maxIdlePeerConnections}
	return keyvalue.New(s.KeyValue, append(options, keyvalue.WithTransport(t))...)
}

// Platform connects one process to the key-value service and to its peers.
type Platform struct {
	Store         *keyvalue.Client
	Configuration *configuration.Source
	// View is the local copy of the registered processes and, in an entry, of the claims.
	View *registry.View
	// Metrics holds the metrics of the process.
	Metrics *metrics.Set

	process         ident.Process
	role            registry.Role
	clock           quartz.Clock
	scheme          string
	client          *http.Client
	configuredPeers []string

	mu    sync.Mutex
	peers map[string]wire.Entry
}

// Connect builds the connections of a process; Run keeps them up to date.
func Connect(s Service, id configuration.Identity, peerTLS settings.TLS, log *timeline.Log) (p *Platform, err error) {
	defer func() { err = eris.Wrap(err, "connect to the platform") }()
	if err = s.Check(); err != nil {
		return nil, err
	}
	p = &Platform{
		Metrics: metrics.NewSet(), process: id.Process, role: id.Role, clock: quartz.NewReal(), scheme: "http://",
		configuredPeers: s.Peers, peers: make(map[string]wire.Entry),
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	t := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdlePeerConnections, IdleConnTimeout: time.Minute}
	if peerTLS.Enabled() {
		p.scheme = "https://"
		if t.DialTLSContext, err = server.DialTLS(peerTLS, dialer.DialContext); err != nil {
			return nil, err
		}
	}
	p.client = &http.Client{Transport: roundtrip.New(t)}
	if p.Store, err = s.Client(keyvalue.WithObserver(countCalls(p.Metrics))); err != nil {
		return nil, err
	}
	p.Configuration = configuration.New(id, p.Store,
		configuration.WithLog(log), configuration.WithPeers(p.entries), configuration.WithWitnesses(p.agents),
		configuration.WithMetrics(p.Metrics))
	p.View = registry.NewView(p.Store, p.clock, log)
	return p, nil
}

// countCalls counts the calls to the key-value service by kind.
func countCalls(set *metrics.Set) func(call string, err error) {
	return func(call string, err error) {
		set.GetOrCreateCounter(fmt.Sprintf("shallotring_keyvalue_calls_total{call=%q}", call)).Inc()
		if err != nil {
			set.GetOrCreateCounter(fmt.Sprintf("shallotring_keyvalue_call_failures_total{call=%q}", call)).Inc()
		}
	}
}

// Run keeps the configuration and the registry up to date until ctx ends.
func (p *Platform) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() {
		p.waitForProcesses(ctx)
		_ = p.Configuration.Run(ctx)
	})
	wg.Go(func() { p.runView(ctx) })
	wg.Wait()
	p.client.CloseIdleConnections()
	p.Store.Close()
}

// runView watches the processes, and in an entry also the claims: an agent sends nothing to other agents, and each watch is a
// load on the key-value service.
func (p *Platform) runView(ctx context.Context) {
	if p.role == registry.RoleEntry {
		_ = p.View.Run(ctx)
		return
	}
	_ = p.View.RunProcesses(ctx)
}

func (p *Platform) waitForProcesses(ctx context.Context) {
	t := p.clock.NewTimer(initialViewTimeout, "platform")
	defer t.Stop()
	select {
	case <-p.View.ProcessesRead():
	case <-t.C:
	case <-ctx.Done():
	}
}

// Entry returns the client of the entry with the address.
func (p *Platform) Entry(address string) wire.Entry {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.peers[address]
	if !ok {
		c = wire.NewEntryProtobufClient(p.scheme+address, p.client)
		p.peers[address] = c
	}
	return c
}

// Agent returns a client of the agent with the address.
func (p *Platform) Agent(address string) wire.Agent {
	return wire.NewAgentProtobufClient(p.scheme+address, p.client)
}

// agents lists the last known agents except the process itself.
func (p *Platform) agents() (list []configuration.Witness) {
	for _, c := range p.View.Claims() {
		if c.Process != p.process {
			list = append(list, configuration.Witness{Process: c.Process, Reporter: p.Agent(c.Address)})
		}
	}
	return list
}

// entries lists the entries that serve the configuration: those of the registry or, if there are none, those of the settings.
func (p *Platform) entries() (list []configuration.Peer) {
	for _, r := range p.View.Processes() {
		if r.Role == registry.RoleEntry {
			list = append(list, configuration.Peer{Process: r.Process, Zone: r.Zone, Client: p.Entry(r.Address)})
		}
	}
	if len(list) > 0 {
		return list
	}
	for _, address := range p.configuredPeers {
		list = append(list, configuration.Peer{Process: ident.Process(address), Client: p.Entry(address)})
	}
	return list
}
