package capacity

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/coder/quartz"
	"github.com/rotisserie/eris"

	"shallotring.dev/bench/load"
	"shallotring.dev/coordination/configuration"
	"shallotring.dev/coordination/loadpermit"
	"shallotring.dev/coordination/registry"
	"shallotring.dev/daemon/node"
	protocol "shallotring.dev/protocol/keyvalue"
	"shallotring.dev/protocol/wire"
	"shallotring.dev/standin/keyvalue"
	"shallotring.dev/state/ident"
	"shallotring.dev/transport/settings"
	"shallotring.dev/transport/timeline"
)

const (
	// zones is that of the target size.
	zones = 6
	// entryShare is the share of entries among the processes of the target size, 400 of 1,000.
	entryShare = 0.4
	// forceLimit bounds the wait for a change.
	forceLimit = 30 * time.Second
	forcePoll  = 5 * time.Millisecond
	// startBatch bounds the processes that start at once: each one that finds no loaded peer reads the whole
	// configuration from the service, and 200 at once on a busy machine ran into the timeout of these reads for 30 s.
	startBatch = 10
)

// Fleet measures the configuration path, presence, claims and permits of many processes. Each member has the real
// configuration source, registry view, presence and permit holder of its role; all are in this process.
type Fleet struct {
	Processes []int         `help:"Numbers of processes." default:"10,50,100,200"`
	Adapters  int           `help:"Number of adapters." default:"3000"`
	Duration  time.Duration `help:"Time without changes and time with changes." default:"10s"`
	Changes   int           `help:"Number of changes." default:"10"`
}

// member is one process of the measured fleet.
type member struct {
	platform *node.Platform
	run      []func(context.Context)
}

// world is one fleet with its service.
type world struct {
	service *service
	peers   traffic
	// polls counts the calls of Changes.
	polls   atomic.Int64
	members []*member
	ends    []func()
}

// Run prints one line per number of processes.
func (f *Fleet) Run(ctx context.Context, out io.Writer) (err error) {
	defer func() { err = eris.Wrap(err, "measure a fleet") }()
	for _, n := range f.Processes {
		if err = f.once(ctx, out, n); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) once(ctx context.Context, out io.Writer, processes int) (err error) {
	ctx, cancel := context.WithCancel(ctx)
	w := &world{}
	var wg sync.WaitGroup
	defer func() {
		cancel()
		wg.Wait()
		for _, end := range w.ends {
			end()
		}
	}()
	if w.service, err = newService(); err != nil {
		return err
	}
	w.ends = append(w.ends, w.service.end)
	entries := max(int(entryShare*float64(processes)), 1)
	if err = w.service.declare(ctx, f.Adapters, processes-entries); err != nil {
		return err
	}
	for i := range processes {
		if err = w.add(i, i < entries); err != nil {
			return err
		}
	}
	// Entries come first in the list, so that the agents find peers that have the configuration.
	for batch := range slices.Chunk(w.members, startBatch) {
		for _, m := range batch {
			for _, run := range m.run {
				wg.Go(func() { run(ctx) })
			}
		}
		if err = await(batch, ident.Revision(w.service.Revision())); err != nil {
			return err
		}
	}
	time.Sleep(settle)
	return f.measure(ctx, out, w, processes)
}

// add builds one member as daemon/node does, without listeners for callers and without an engine.
func (w *world) add(i int, entry bool) (err error) {
	role, zone := registry.RoleAgent, ident.Zone(fmt.Sprintf("zone-%d", i%zones))
	if entry {
		role = registry.RoleEntry
	}
	id := configuration.Identity{Process: ident.NewProcess(string(role)), Role: role, Zone: zone}
	m := &member{}
	m.platform, err = node.Connect(node.Service{KeyValue: []string{w.service.url}}, id, settings.TLS{}, timeline.Discard())
	if err != nil {
		return err
	}
	m.run = append(m.run, m.platform.Run)
	self := registry.ProcessRecord{Process: id.Process, Role: role, Host: ident.Host(fmt.Sprintf("host-%d", i)), Zone: zone}
	if entry {
		err = w.addEntry(m, self)
	} else {
		m.run = append(m.run, func(ctx context.Context) { keepClaim(ctx, m.platform.Store, self, i) })
	}
	w.members = append(w.members, m)
	return err
}

func (w *world) addEntry(m *member, self registry.ProcessRecord) (err error) {
	mux := http.NewServeMux()
	address, end, err := serve(mux, &w.peers)
	if err != nil {
		return err
	}
	w.ends = append(w.ends, end)
	self.Address = address
	holder := loadpermit.NewHolder(m.platform.Store, self, m.platform.Configuration)
	mux.Handle(wire.EntryPathPrefix, wire.NewEntryServer(&peer{Source: m.platform.Configuration, Holder: holder, polls: &w.polls}))
	presence := registry.NewPresence(m.platform.Store, quartz.NewReal(), self)
	m.run = append(m.run,
		func(ctx context.Context) { _ = presence.Run(ctx) },
		func(ctx context.Context) { _ = holder.Run(ctx) })
	return nil
}

// peer serves the calls between processes that are measured.
type peer struct {
	wire.Entry
	*configuration.Source
	*loadpermit.Holder
	polls *atomic.Int64
}

// Changes serves the configuration.
func (p *peer) Changes(ctx context.Context, q *wire.ChangesRequest) (a *wire.ChangesResponse, err error) {
	p.polls.Add(1)
	return p.Source.Changes(ctx, q)
}

// Permit grants load permits.
func (p *peer) Permit(ctx context.Context, q *wire.PermitRequest) (a *wire.PermitResponse, err error) {
	return p.Holder.Permit(ctx, q)
}

// keepClaim holds a claim under a lease with the keep-alives of an agent.
func keepClaim(ctx context.Context, store *protocol.Client, self registry.ProcessRecord, i int) {
	lease, err := store.Grant(ctx, registry.LeaseTime)
	if err != nil {
		return
	}
	record := fmt.Sprintf(`{"Process":%q,"Endpoint":%q,"Address":"127.0.0.1:1","Host":%q,"Zone":%q}`,
		self.Process, load.EngineName(i), self.Host, self.Zone)
	swap := protocol.Swap{Key: registry.ClaimKey(load.EngineName(i)), Value: []byte(record), Lease: lease}
	if _, _, err = store.CompareAndSwap(ctx, swap); err != nil {
		return
	}
	t := time.NewTicker(registry.KeepAliveInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			_ = store.KeepAlive(ctx, lease)
		}
	}
}

// await returns once every member has the revision in force.
func await(members []*member, revision ident.Revision) (err error) {
	limit := time.Now().Add(forceLimit)
	for _, m := range members {
		for m.platform.Configuration.Generation() < revision {
			if time.Now().After(limit) {
				return eris.Errorf("revision %d is not in force everywhere after %s", revision, forceLimit)
			}
			time.Sleep(forcePoll)
		}
	}
	return nil
}

// reading is the state of all counters at one time.
type reading struct {
	at       time.Time
	calls    map[keyvalue.Call]int
	keyValue int64
	peers    int64
	polls    int64
	cpu      time.Duration
}

func (w *world) read() (r reading) {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return reading{
		at: time.Now(), calls: w.service.Calls(), keyValue: w.service.traffic.total(), peers: w.peers.total(), polls: w.polls.Load(),
		cpu: time.Duration(u.Utime.Nano() + u.Stime.Nano()),
	}
}

func (r reading) perSecond(after reading, c keyvalue.Call) float64 {
	return float64(after.calls[c]-r.calls[c]) / after.at.Sub(r.at).Seconds()
}

func (f *Fleet) measure(ctx context.Context, out io.Writer, w *world, processes int) (err error) {
	start := w.read()
	time.Sleep(f.Duration)
	idle := w.read()
	seconds, members := idle.at.Sub(start.at).Seconds(), float64(processes)
	_, err = fmt.Fprintf(out, "fleet: processes=%d adapters=%d watches_waiting=%d range_per_s=%.1f keepalive_per_s=%.1f txn_per_s=%.2f "+
		"watch_opened_per_s=%.2f polls_per_s=%.1f keyvalue_bytes_per_s_per_process=%.0f peer_bytes_per_s_per_process=%.0f core_percent_per_process=%.3f "+
		"load_average=%s\n",
		processes, f.Adapters, w.service.waiting.Load(), start.perSecond(idle, keyvalue.CallRange), start.perSecond(idle, keyvalue.CallKeepAlive),
		start.perSecond(idle, keyvalue.CallTxn), start.perSecond(idle, keyvalue.CallWatch), float64(idle.polls-start.polls)/seconds,
		float64(idle.keyValue-start.keyValue)/seconds/members, float64(idle.peers-start.peers)/seconds/members,
		100*(idle.cpu-start.cpu).Seconds()/seconds/members, load.MachineLoad())
	if err != nil || f.Changes == 0 {
		return err
	}
	return f.change(ctx, out, w, processes, start, idle)
}

// change makes changes one after the other and reports the times until each was in force everywhere.
func (f *Fleet) change(ctx context.Context, out io.Writer, w *world, processes int, start, idle reading) (err error) {
	var times []time.Duration
	before := w.read()
	for i := range f.Changes {
		began := time.Now()
		if err = w.service.change(ctx, i); err != nil {
			return err
		}
		if err = await(w.members, ident.Revision(w.service.Revision())); err != nil {
			return err
		}
		times = append(times, time.Since(began))
		time.Sleep(time.Until(began.Add(f.Duration / time.Duration(f.Changes))))
	}
	after := w.read()
	slices.Sort(times)
	n, members := float64(f.Changes), float64(processes)
	// The idle traffic of the same time is taken off.
	share := after.at.Sub(before.at).Seconds() / idle.at.Sub(start.at).Seconds()
	peerBytes := float64(after.peers-before.peers) - share*float64(idle.peers-start.peers)
	keyValueBytes := float64(after.keyValue-before.keyValue) - share*float64(idle.keyValue-start.keyValue)
	cpu := (after.cpu - before.cpu).Seconds() - share*(idle.cpu-start.cpu).Seconds()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	_, err = fmt.Fprintf(out, "change: processes=%d adapters=%d changes=%d in_force_median_ms=%d in_force_max_ms=%d peer_bytes_per_process=%.0f "+
		"keyvalue_bytes_all=%.0f cpu_ms_per_process=%.2f heap_mb_all=%.0f load_average=%s\n",
		processes, f.Adapters, f.Changes, times[len(times)/2].Milliseconds(), times[len(times)-1].Milliseconds(), peerBytes/n/members,
		keyValueBytes/n, 1000*cpu/n/members, mebibytes(int64(memory.HeapAlloc)), load.MachineLoad())
	return err
}
