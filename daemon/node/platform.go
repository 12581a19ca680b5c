package node

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/coder/quartz"
	"github.com/rotisserie/eris"

	"shallotring.dev/coordination/configuration"
	"shallotring.dev/coordination/registry"
	"shallotring.dev/protocol/keyvalue"
	"shallotring.dev/protocol/wire"
	"shallotring.dev/state/ident"
	"shallotring.dev/transport/server"
	"shallotring.dev/transport/settings"
	"shallotring.dev/transport/timeline"
)

// viewWait bounds the wait for the list of entries at the start. A process that knows no entry reads the whole
// configuration from the service, which a fleet that starts at once must not do.
const viewWait = time.Second

// peerIdleConnections bounds the idle connections to one process of the project.
const peerIdleConnections = 16

// Service names the key-value service and the peers that help while it is down.
type Service struct {
	// KeyValue lists the base URLs of the key-value service.
	KeyValue []string
	// Peers lists the IP:port of entries to ask for the configuration if the service is down at the start.
	Peers []string
}

// Check refuses settings without a service.
func (s Service) Check() (err error) {
	if len(s.KeyValue) == 0 {
		return eris.New("KeyValue: must name at least one URL")
	}
	for _, p := range s.Peers {
		if err = settings.Address("Peers", p); err != nil {
			return err
		}
	}
	return nil
}

// Platform connects one process to the key-value service and to its peers.
type Platform struct {
	Store         *keyvalue.Client
	Configuration *configuration.Source
	View          *registry.View

	clock  quartz.Clock
	role   registry.Role
	scheme string
	client *http.Client
	fixed  []string

	mu    sync.Mutex
	peers map[string]wire.Entry
}

// Connect builds the connections of a process; Run keeps them up to date.
func Connect(s Service, id configuration.Identity, keys settings.TLS, log *timeline.Log) (p *Platform, err error) {
	defer func() { err = eris.Wrap(err, "connect to the platform") }()
	if err = s.Check(); err != nil {
		return nil, err
	}
	p = &Platform{clock: quartz.NewReal(), role: id.Role, scheme: "http://", fixed: s.Peers, peers: make(map[string]wire.Entry)}
	t := &http.Transport{MaxIdleConnsPerHost: peerIdleConnections, IdleConnTimeout: time.Minute}
	if keys.Enabled() {
		p.scheme = "https://"
		if t.TLSClientConfig, err = server.ClientTLS(keys); err != nil {
			return nil, err
		}
	}
	p.client = &http.Client{Transport: t}
	if p.Store, err = keyvalue.New(s.KeyValue); err != nil {
		return nil, err
	}
	p.Configuration = configuration.New(id, p.Store, configuration.WithLog(log), configuration.WithPeers(p.entries))
	p.View = registry.NewView(p.Store, p.clock, log)
	return p, nil
}

// Run keeps configuration and registry up to date until ctx ends.
func (p *Platform) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() {
		p.awaitProcesses(ctx)
		_ = p.Configuration.Run(ctx)
	})
	wg.Go(func() { p.runView(ctx) })
	wg.Wait()
	p.client.CloseIdleConnections()
	p.Store.Close()
}

// runView follows claims only in an entry: an agent sends nothing to other agents, and each watch is a load on the service.
func (p *Platform) runView(ctx context.Context) {
	if p.role == registry.RoleEntry {
		_ = p.View.Run(ctx)
		return
	}
	_ = p.View.RunProcesses(ctx)
}

func (p *Platform) awaitProcesses(ctx context.Context) {
	t := p.clock.NewTimer(viewWait, "platform")
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

// entries lists the entries that serve the configuration: those of the registry, else those of the settings.
func (p *Platform) entries() (list []configuration.Peer) {
	for _, r := range p.View.Processes() {
		if r.Role == registry.RoleEntry {
			list = append(list, configuration.Peer{Process: r.Process, Zone: r.Zone, Changer: p.Entry(r.Address)})
		}
	}
	if len(list) > 0 {
		return list
	}
	for _, address := range p.fixed {
		list = append(list, configuration.Peer{Process: ident.Process(address), Changer: p.Entry(address)})
	}
	return list
}
