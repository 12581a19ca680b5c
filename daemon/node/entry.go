package node

import (
	"cmp"
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/coder/quartz"
	"github.com/rotisserie/eris"

	"shallotring.dev/coordination/bucket"
	"shallotring.dev/coordination/configuration"
	"shallotring.dev/coordination/loadpermit"
	"shallotring.dev/coordination/registry"
	"shallotring.dev/daemon/entry"
	"shallotring.dev/protocol/wire"
	"shallotring.dev/state/ident"
	"shallotring.dev/transport/server"
	"shallotring.dev/transport/settings"
	"shallotring.dev/transport/timeline"
)

// isolatedReason is the reason for the refusals and the failing readiness check of an isolated process, which is one that cannot
// confirm its configuration.
const isolatedReason = "isolated"

// releaseTimeout bounds the release of the ledger buckets at a planned stop.
const releaseTimeout = 5 * time.Second

// EntrySettings is the content of the entry's settings file.
type EntrySettings struct {
	entry.Settings
	Service
	// PeerAdvertise is the IP:port at which other processes reach the peer listener; if empty, the address that PeerAddress listens on.
	PeerAdvertise string
}

// DefaultEntrySettings returns the values of the settings that a file may leave out.
func DefaultEntrySettings() EntrySettings { return EntrySettings{Settings: entry.DefaultSettings()} }

// Check returns an error if an entry cannot run with the settings.
func (s *EntrySettings) Check() (err error) {
	if err = s.Settings.Check(); err != nil {
		return err
	}
	if s.PeerAddress == "" {
		return eris.New("PeerAddress: must be set")
	}
	if s.PeerAdvertise != "" {
		if err = settings.CheckAdvertisedAddress("PeerAdvertise", s.PeerAdvertise); err != nil {
			return err
		}
	}
	return s.Service.Check()
}

// Entry is an entry with the connections of its process, its part of the ledger and its peer listener.
type Entry struct {
	*entry.Entry
	platform *Platform
	ledger   *bucket.Owner
	permits  *loadpermit.Holder
	presence *registry.Presence
	peers    *server.Server
}

// NewEntry opens the listeners of an entry process; Run starts its work.
func NewEntry(s EntrySettings, log *timeline.Log, process ident.Process) (n *Entry, err error) {
	defer func() { err = eris.Wrap(err, "set up entry process") }()
	if err = s.Check(); err != nil {
		return nil, err
	}
	n = &Entry{}
	id := configuration.Identity{Process: process, Role: registry.RoleEntry, Zone: s.Zone}
	if n.platform, err = Connect(s.Service, id, s.PeerTLS, log); err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	n.peers, err = server.Listen(s.PeerAddress, mux, server.WithLimits(server.PeerLimits()), server.WithTLS(s.PeerTLS),
		server.AllowInsecure(s.AllowInsecure), server.WithLog(log.Logger))
	if err != nil {
		return nil, err
	}
	self := registry.ProcessRecord{
		Process: process, Role: registry.RoleEntry, Address: cmp.Or(s.PeerAdvertise, n.peers.Addr()), Host: s.Host, Zone: s.Zone,
	}
	n.presence = registry.NewPresence(n.platform.Store, quartz.NewReal(), self)
	n.ledger = bucket.New(self, n.platform.Store, n.platform.View.Processes,
		bucket.WithTimeline(log), bucket.WithMetrics(n.platform.Metrics),
		bucket.WithRetention(n.keyRetention), bucket.WithAgentAddress(n.agentAddress),
		bucket.WithClients(
			func(address string) bucket.Settler { return n.platform.Agent(address) },
			func(address string) bucket.Forwarder { return n.platform.Entry(address) }))
	n.permits = loadpermit.NewHolder(n.platform.Store, self, n.platform.Configuration)
	peer := &peerService{Server: n.ledger.Server(), Source: n.platform.Configuration, Holder: n.permits, self: self}
	mux.Handle(wire.EntryPathPrefix, wire.NewEntryServer(peer))

	entrySettings := s.Settings
	entrySettings.PeerAddress = ""
	n.Entry, err = entry.New(entrySettings,
		entry.WithLog(log), entry.WithProcess(process), entry.WithConfiguration(n.platform.Configuration),
		entry.WithAgents(n.platform.View), entry.WithLedger(n.ledger), entry.WithIsolation(n.isolationReason), entry.WithMetrics(n.platform.Metrics))
	if err != nil {
		_ = n.peers.Close()
		return nil, err
	}
	n.platform.Metrics.NewGauge("shallotring_entry_live_agents", func() float64 { return float64(n.ClaimCount()) })
	return n, nil
}

// PeerAddress returns the address of the listener for other entries and agents.
func (n *Entry) PeerAddress() string { return n.peers.Addr() }

// Configuration returns the source of the configuration in force at the process.
func (n *Entry) Configuration() *configuration.Source { return n.platform.Configuration }

// Run serves until ctx ends; requests in progress finish and the ledger buckets are released before it returns.
func (n *Entry) Run(ctx context.Context) (err error) {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	wg.Go(func() { n.platform.Run(background) })
	wg.Go(func() { _ = n.ledger.Run(background) })
	wg.Go(func() { _ = n.presence.Run(background) })
	wg.Go(func() { _ = n.permits.Run(background) })
	wg.Go(func() { _ = n.peers.Serve() })
	err = n.Entry.Run(ctx)
	n.releaseBuckets(background)
	stop()
	_ = n.peers.Close()
	wg.Wait()
	return err
}

func (n *Entry) releaseBuckets(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	// If a bucket cannot be released, another entry takes it over with a higher epoch.
	_ = n.ledger.Release(ctx)
}

func (n *Entry) keyRetention() time.Duration {
	return time.Duration(n.platform.Configuration.Current().Policy().KeyRetention)
}

func (n *Entry) agentAddress(e ident.Endpoint) (address string, ok bool) {
	c, ok := n.platform.View.Claim(e)
	return c.Address, ok
}

func (n *Entry) isolationReason() (reason string) {
	if n.platform.Configuration.Isolated() {
		return isolatedReason
	}
	return ""
}

// peerService serves the calls of other entries and agents.
type peerService struct {
	*bucket.Server
	*configuration.Source
	*loadpermit.Holder
	self registry.ProcessRecord
}

// InForce reports the configuration in force at the entry.
func (p *peerService) InForce(context.Context, *wire.InForceRequest) (resp *wire.InForceResponse, err error) {
	return &wire.InForceResponse{
		Process: string(p.self.Process), Role: string(p.self.Role),
		Generation: int64(p.Generation()), Failure: p.Failure(),
	}, nil
}

// ClaimCount returns the number of endpoints with a live agent.
func (n *Entry) ClaimCount() int { return len(n.platform.View.Claims()) }
