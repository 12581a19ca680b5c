package fleet

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"shallotring.dev/soak/backend"
	"shallotring.dev/soak/history"
	"shallotring.dev/soak/judge"
	"shallotring.dev/soak/schedule"
	"shallotring.dev/soak/store"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/resource"
)

const (
	configPrefix   = "/config/"
	claimPrefix    = "/claim/"
	presencePrefix = "/process/"
	ledgerPrefix   = "/ledger/"
)

const (
	adapterCount = 10
	entryCount   = 3
	// The slots of an engine and its memory, which holds two or three adapters.
	engineSlots     = 3
	engineMegabytes = 1000
	modelMegabytes  = 900
	// quietDuration is the time without new requests and faults in which all requests must finish.
	quietDuration = 90 * time.Second
)

// adapterMegabytes are the sizes of adapters at the engines, two engines each.
var adapterMegabytes = [2]ident.Megabytes{30, 45}

// Fleet is the simulation of one schedule: all processes, the fakes around them, and the judge that checks the guarantees.
type Fleet struct {
	options       Options
	clock         *schedule.Clock
	store         *store.Store
	log           *history.Log
	judge         *judge.Judge
	endpoints     []*endpoint
	entries       []*entry
	processes     []*process
	addresses     map[string]*agent
	streams       []*stream
	callers       *callers
	operators     []*operator
	lastSerial    int
	requestCount  int
	faultCount    int
	faultsStopped bool
	rolling       bool

	badNetwork, watchGaps, failLoads, slowWeights, badFrames, staleReports, staleHosts bool
}

// New returns a fleet with its initial resources and processes; Run runs its schedule.
func New(o Options) *Fleet {
	c := schedule.New(o.Seed)
	f := &Fleet{options: o, clock: c, store: store.New(c), log: history.New(c.Now), addresses: make(map[string]*agent)}
	f.judge = judge.New(c.Now, f.log, c.Halt)
	f.store.OnWrite = f.handleStoreWrite
	f.callers = &callers{fleet: f}
	for n := range 2 {
		f.operators = append(f.operators, newOperator(f, n))
	}
	f.declareResources()
	for _, s := range f.endpoints {
		s.backend.Start()
		f.startAgent(s, "")
	}
	for range entryCount {
		f.startEntry()
	}
	return f
}

func (f *Fleet) declareResources() {
	for n := range adapterCount {
		name := ident.Adapter(fmt.Sprintf("adapter-%d", n))
		path := fmt.Sprintf("%s/v1", name)
		f.storeResource(&resource.Adapter{Name: name, BaseModel: baseModel, Default: "v1",
			Versions: []resource.AdapterVersion{{Version: "v1", Path: path, Digest: backend.Digest(path)}}})
	}
	for n := range 4 {
		f.addEndpoint(resource.Endpoint{Name: ident.Endpoint(fmt.Sprintf("engine-%d", n)), Kind: resource.Engine, BaseModel: baseModel,
			Host: "host", Zone: "zone", ChecksFencing: n%2 == 0, Slots: engineSlots, MemoryMegabytes: engineMegabytes, BaseModelMegabytes: modelMegabytes,
			AdapterMegabytes: adapterMegabytes[n/2], BatchSize: 4})
	}
	for n := range 2 {
		f.addEndpoint(resource.Endpoint{Name: ident.Endpoint(fmt.Sprintf("custody-%d", n)), Kind: resource.Service, Service: serviceName,
			Host: "host", Zone: "zone", ChecksFencing: n%2 == 0, BatchSize: 4})
	}
}

func (f *Fleet) addEndpoint(e resource.Endpoint) {
	f.storeResource(&e)
	f.endpoints = append(f.endpoints, &endpoint{name: e.Name, backend: &backend.Endpoint{
		Name: e.Name, PlainService: e.Kind == resource.Service, ChecksFencing: e.ChecksFencing, Slots: e.AdapterSlots(), Clock: f.clock, Observer: f.judge,
		WrongAdapter: f.options.Without == AdapterNames, EvictsInUse: f.options.Without == SlotsInUse,
		SlowWeightStore: func() bool { return f.slowWeights },
		FailedLoadsPerMille: func() int {
			if f.failLoads {
				return 500
			}
			return 0
		},
	}})
}

// handleStoreWrite reports new claims and declared adapters to the judge and delivers changes of the configuration to the
// processes that watch it.
func (f *Fleet) handleStoreWrite(r store.Record) {
	if name, ok := strings.CutPrefix(r.Key, claimPrefix); ok {
		f.judge.Claimed(ident.Endpoint(name), ident.Incarnation(r.Revision))
	}
	if !strings.HasPrefix(r.Key, configPrefix) {
		return
	}
	var n int
	if _, err := fmt.Sscanf(r.Key, configPrefix+"%02x", &n); err != nil {
		panic(err)
	}
	sh, err := resource.DecodeShard(n, r.Value)
	if err != nil {
		panic(err)
	}
	for i := range sh.Adapters {
		a := &sh.Adapters[i]
		f.judge.AdapterDeclared(a, sh.Revision(resource.Name{Kind: resource.KindAdapter, Name: string(a.Name)}, r.Revision))
	}
	for _, p := range f.processes {
		if !p.exited {
			p.deliverChange(r)
		}
	}
}

// Run runs the schedule: requests and faults for the duration, then a quiet period in which all requests must finish.
func (f *Fleet) Run(d time.Duration) Result {
	f.callers.start()
	f.startFaults()
	f.clock.Every(time.Second, func() bool {
		f.judge.CheckOverdue(f.entryAlive)
		f.removeEnded()
		return true
	})
	f.clock.Run(d)
	f.callers.stopped, f.faultsStopped = true, true
	f.clock.Run(quietDuration)
	if !f.clock.Halted() {
		f.judge.CheckOverdue(f.entryAlive)
	}
	return Result{
		Seed: f.options.Seed, Faults: f.faultCount, Violations: f.judge.Violations(), Exposed: f.judge.Exposed,
		Counts: f.judge.Counts, Digest: f.log.Digest(), Log: f.log,
	}
}

// Result is the result of a schedule.
type Result struct {
	Seed       uint64
	Faults     int
	Violations []judge.Violation
	Exposed    int
	Counts     judge.Counts
	Digest     string
	Log        *history.Log
}

func (f *Fleet) logEvent(subject, format string, args ...any) {
	f.log.Add([3]string{subject}, format, args...)
}

// entryAlive reports whether the entry of a request is alive, and updates the end of the entry's pause in the request.
func (f *Fleet) entryAlive(r *judge.Request) (ok bool) {
	e := f.entryByID(r.Entry)
	if e == nil || e.exited {
		return false
	}
	r.PauseEnd = e.pauseEnd
	return true
}

// removeEnded removes the streams and processes that have ended and replaces missing agents.
func (f *Fleet) removeEnded() {
	f.removeEndedStreams()
	f.processes = slices.DeleteFunc(f.processes, func(p *process) bool { return p.exited })
	f.entries = slices.DeleteFunc(f.entries, func(e *entry) bool { return e.exited })
	for _, s := range f.endpoints {
		s.agents = slices.DeleteFunc(s.agents, func(a *agent) bool {
			if a.exited && f.addresses[a.address] == a {
				delete(f.addresses, a.address)
			}
			return a.exited
		})
		if !f.faultsStopped || len(s.agents) > 0 {
			f.ensureAgent(s)
		}
	}
}

// ensureAgent starts an agent beside an endpoint that has had none for a while, as the replacement of its host.
func (f *Fleet) ensureAgent(s *endpoint) {
	if f.randomLiveAgent(s) == nil && f.clock.Chance(200) {
		f.startAgent(s, "")
	}
}

func (f *Fleet) liveAgents(s *endpoint) (list []*agent) {
	for _, a := range s.agents {
		if !a.exited {
			list = append(list, a)
		}
	}
	return list
}

// randomLiveAgent returns a random live agent of an endpoint.
func (f *Fleet) randomLiveAgent(s *endpoint) *agent {
	list := f.liveAgents(s)
	if len(list) == 0 {
		return nil
	}
	return list[f.clock.Random().IntN(len(list))]
}

func (f *Fleet) randomEndpoint() *endpoint {
	return f.endpoints[f.clock.Random().IntN(len(f.endpoints))]
}

func (f *Fleet) randomAdapter() ident.Adapter {
	// Half of the requests go to two adapters.
	n := f.clock.Random().IntN(adapterCount)
	if f.clock.Chance(500) {
		n %= 2
	}
	return ident.Adapter(fmt.Sprintf("adapter-%d", n))
}

func (f *Fleet) readyEntries() (list []*entry) {
	for _, e := range f.entries {
		if e.ready && !e.exited && !e.leaving {
			list = append(list, e)
		}
	}
	return list
}

func (f *Fleet) readyEntryCount() int { return len(f.readyEntries()) }

func (f *Fleet) randomEntry() *entry {
	list := f.readyEntries()
	if len(list) == 0 {
		return nil
	}
	return list[f.clock.Random().IntN(len(list))]
}

// permitHolder returns the entry that grants load permits: the oldest live one.
func (f *Fleet) permitHolder() *entry {
	for _, e := range f.entries {
		if e.ready && !e.exited {
			return e
		}
	}
	return nil
}

func (f *Fleet) randomExchange() *exchange {
	e := f.randomEntry()
	if e == nil || len(e.exchanges) == 0 {
		return nil
	}
	return e.exchanges[f.clock.Random().IntN(len(e.exchanges))]
}

func (f *Fleet) processByID(id ident.Process) *process {
	for _, p := range f.processes {
		if p.id == id {
			return p
		}
	}
	return nil
}

func (f *Fleet) entryByID(id ident.Process) *entry {
	for _, e := range f.entries {
		if e.id == id {
			return e
		}
	}
	return nil
}
