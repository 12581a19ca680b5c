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
	// zoneCount is the number of zones of the target size.
	zoneCount = 6
	// entryShare is the share of entries among all processes at the target size, which is 400 of 1,000.
	entryShare = 0.4
	// inForceTimeout is the longest wait until a change is in force at every process.
	inForceTimeout      = 30 * time.Second
	inForcePollInterval = 5 * time.Millisecond
	// startBatchSize limits the processes that start at once. A process that finds no peer with the configuration reads all of it from
	// the key-value service; with 200 at once on a busy machine, these reads timed out for 30 s.
	startBatchSize = 10
)

// Fleet measures the configuration path, presence, claims and permits of many processes. Each of them consists of the real
// configuration source, registry view, presence and permit holder of its role, but all run inside the benchmark's process.
type Fleet struct {
	Processes []int         `help:"Numbers of processes." default:"10,50,100,200"`
	Adapters  int           `help:"Number of adapters." default:"3000"`
	Duration  time.Duration `help:"Time without changes and time with changes." default:"10s"`
	Changes   int           `help:"Number of changes." default:"10"`
}

// process is one of the processes of the measured fleet with the tasks that it runs.
type process struct {
	platform *node.Platform
	tasks    []func(context.Context)
}

// measuredFleet is the set of processes of one run with their key-value service.
type measuredFleet struct {
	service     *service
	peerTraffic traffic
	// configurationPolls counts the calls of Changes.
	configurationPolls atomic.Int64
	processes          []*process
	stops              []func()
}

// Run prints one line per number of processes.
func (f *Fleet) Run(ctx context.Context, out io.Writer) (err error) {
	defer func() { err = eris.Wrap(err, "measure a fleet") }()
	for _, n := range f.Processes {
		if err = f.runOnce(ctx, out, n); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) runOnce(ctx context.Context, out io.Writer, processes int) (err error) {
	ctx, cancel := context.WithCancel(ctx)
	w := &measuredFleet{}
	var wg sync.WaitGroup
	defer func() {
		cancel()
		wg.Wait()
		for _, stop := range w.stops {
			stop()
		}
	}()
	if w.service, err = newService(); err != nil {
		return err
	}
	w.stops = append(w.stops, w.service.stop)
	entries := max(int(entryShare*float64(processes)), 1)
	if err = w.service.declare(ctx, f.Adapters, processes-entries); err != nil {
		return err
	}
	for i := range processes {
		if err = w.addProcess(i, i < entries); err != nil {
			return err
		}
	}
	// Entries start first, so that the agents find peers that have the configuration.
	for batch := range slices.Chunk(w.processes, startBatchSize) {
		for _, m := range batch {
			for _, run := range m.tasks {
				wg.Go(func() { run(ctx) })
			}
		}
		if err = waitInForce(batch, ident.Revision(w.service.Revision())); err != nil {
			return err
		}
	}
	time.Sleep(startupTime)
	return f.measureIdle(ctx, out, w, processes)
}

// addProcess builds one process as daemon/node does, without listeners for callers and without an engine.
func (w *measuredFleet) addProcess(i int, entry bool) (err error) {
	role, zone := registry.RoleAgent, ident.Zone(fmt.Sprintf("zone-%d", i%zoneCount))
	if entry {
		role = registry.RoleEntry
	}
	id := configuration.Identity{Process: ident.NewProcess(string(role)), Role: role, Zone: zone}
	m := &process{}
	m.platform, err = node.Connect(node.Service{KeyValue: []string{w.service.url}}, id, settings.TLS{}, timeline.Discard())
	if err != nil {
		return err
	}
	m.tasks = append(m.tasks, m.platform.Run)
	self := registry.ProcessRecord{Process: id.Process, Role: role, Host: ident.Host(fmt.Sprintf("host-%d", i)), Zone: zone}
	if entry {
		err = w.addEntry(m, self)
	} else {
		m.tasks = append(m.tasks, func(ctx context.Context) { maintainClaim(ctx, m.platform.Store, self, i) })
	}
	w.processes = append(w.processes, m)
	return err
}

func (w *measuredFleet) addEntry(m *process, self registry.ProcessRecord) (err error) {
	mux := http.NewServeMux()
	address, stop, err := serve(mux, &w.peerTraffic)
	if err != nil {
		return err
	}
	w.stops = append(w.stops, stop)
	self.Address = address
	holder := loadpermit.NewHolder(m.platform.Store, self, m.platform.Configuration)
	mux.Handle(wire.EntryPathPrefix, wire.NewEntryServer(
		&peerServer{Source: m.platform.Configuration, Holder: holder, configurationPolls: &w.configurationPolls}))
	presence := registry.NewPresence(m.platform.Store, quartz.NewReal(), self)
	m.tasks = append(m.tasks,
		func(ctx context.Context) { _ = presence.Run(ctx) },
		func(ctx context.Context) { _ = holder.Run(ctx) })
	return nil
}

// peerServer serves the measured calls between processes.
type peerServer struct {
	wire.Entry
	*configuration.Source
	*loadpermit.Holder
	configurationPolls *atomic.Int64
}

// Changes serves the configuration.
func (p *peerServer) Changes(ctx context.Context, q *wire.ChangesRequest) (a *wire.ChangesResponse, err error) {
	p.configurationPolls.Add(1)
	return p.Source.Changes(ctx, q)
}

// Permit grants load permits.
func (p *peerServer) Permit(ctx context.Context, q *wire.PermitRequest) (a *wire.PermitResponse, err error) {
	return p.Holder.Permit(ctx, q)
}

// maintainClaim creates a claim under a lease and keeps the lease alive as an agent does.
func maintainClaim(ctx context.Context, store *protocol.Client, self registry.ProcessRecord, i int) {
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

// waitInForce waits until the revision is in force at every process.
func waitInForce(processes []*process, revision ident.Revision) (err error) {
	deadline := time.Now().Add(inForceTimeout)
	for _, m := range processes {
		for m.platform.Configuration.Generation() < revision {
			if time.Now().After(deadline) {
				return eris.Errorf("revision %d is not in force at every process after %s", revision, inForceTimeout)
			}
			time.Sleep(inForcePollInterval)
		}
	}
	return nil
}

// counters are the values of all counters at one time.
type counters struct {
	at                 time.Time
	calls              map[keyvalue.Call]int
	keyValueBytes      int64
	peerBytes          int64
	configurationPolls int64
	cpu                time.Duration
}

func (w *measuredFleet) readCounters() (r counters) {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return counters{
		at: time.Now(), calls: w.service.Calls(), keyValueBytes: w.service.traffic.total(), peerBytes: w.peerTraffic.total(),
		configurationPolls: w.configurationPolls.Load(), cpu: time.Duration(u.Utime.Nano() + u.Stime.Nano()),
	}
}

// perSecond returns the rate of a call between two readings of the counters.
func (r counters) perSecond(after counters, c keyvalue.Call) float64 {
	return float64(after.calls[c]-r.calls[c]) / after.at.Sub(r.at).Seconds()
}

// measureIdle prints the calls, bytes and processor time without changes, and then measures the changes if there are any.
func (f *Fleet) measureIdle(ctx context.Context, out io.Writer, w *measuredFleet, processes int) (err error) {
	start := w.readCounters()
	time.Sleep(f.Duration)
	idle := w.readCounters()
	seconds, processCount := idle.at.Sub(start.at).Seconds(), float64(processes)
	_, err = fmt.Fprintf(out, "fleet: processes=%d adapters=%d watches_waiting=%d range_per_s=%.1f keepalive_per_s=%.1f txn_per_s=%.2f "+
		"watch_opened_per_s=%.2f polls_per_s=%.1f keyvalue_bytes_per_s_per_process=%.0f peer_bytes_per_s_per_process=%.0f core_percent_per_process=%.3f "+
		"load_average=%s\n",
		processes, f.Adapters, w.service.openWatches.Load(), start.perSecond(idle, keyvalue.CallRange),
		start.perSecond(idle, keyvalue.CallKeepAlive), start.perSecond(idle, keyvalue.CallTxn), start.perSecond(idle, keyvalue.CallWatch),
		float64(idle.configurationPolls-start.configurationPolls)/seconds,
		float64(idle.keyValueBytes-start.keyValueBytes)/seconds/processCount, float64(idle.peerBytes-start.peerBytes)/seconds/processCount,
		100*(idle.cpu-start.cpu).Seconds()/seconds/processCount, load.MachineLoad())
	if err != nil || f.Changes == 0 {
		return err
	}
	return f.measureChanges(ctx, out, w, processes, start, idle)
}

// measureChanges makes changes one after the other and prints how long each took to be in force at every process.
func (f *Fleet) measureChanges(ctx context.Context, out io.Writer, w *measuredFleet, processes int, start, idle counters) (err error) {
	var times []time.Duration
	before := w.readCounters()
	for i := range f.Changes {
		startedAt := time.Now()
		if err = w.service.changeDefault(ctx, i); err != nil {
			return err
		}
		if err = waitInForce(w.processes, ident.Revision(w.service.Revision())); err != nil {
			return err
		}
		times = append(times, time.Since(startedAt))
		time.Sleep(time.Until(startedAt.Add(f.Duration / time.Duration(f.Changes))))
	}
	after := w.readCounters()
	slices.Sort(times)
	changeCount, processCount := float64(f.Changes), float64(processes)
	// The traffic and processor time of an equally long idle time are subtracted.
	timeRatio := after.at.Sub(before.at).Seconds() / idle.at.Sub(start.at).Seconds()
	peerBytes := float64(after.peerBytes-before.peerBytes) - timeRatio*float64(idle.peerBytes-start.peerBytes)
	keyValueBytes := float64(after.keyValueBytes-before.keyValueBytes) - timeRatio*float64(idle.keyValueBytes-start.keyValueBytes)
	cpu := (after.cpu - before.cpu).Seconds() - timeRatio*(idle.cpu-start.cpu).Seconds()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	_, err = fmt.Fprintf(out, "change: processes=%d adapters=%d changes=%d in_force_median_ms=%d in_force_max_ms=%d peer_bytes_per_process=%.0f "+
		"keyvalue_bytes_all=%.0f cpu_ms_per_process=%.2f heap_mb_all=%.0f load_average=%s\n",
		processes, f.Adapters, f.Changes, times[len(times)/2].Milliseconds(), times[len(times)-1].Milliseconds(),
		peerBytes/changeCount/processCount, keyValueBytes/changeCount, 1000*cpu/changeCount/processCount,
		mebibytes(int64(memory.HeapAlloc)), load.MachineLoad())
	return err
}
