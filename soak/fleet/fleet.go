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
	// quiet is the time without new requests and faults in which everything must come to its end.
	quiet = 90 * time.Second
)

// Fleet is one schedule: all processes, their fakes and the judge.
type Fleet struct {
	options   Options
	clock     *schedule.Clock
	store     *store.Store
	log       *history.Log
	judge     *judge.Judge
	sites     []*site
	entries   []*entry
	processes []*process
	addresses map[string]*agent
	streams   []*stream
	callers   *callers
	operators []*operator
	serial    int
	requests  int
	faults    int
	calm      bool
	rolling   bool

	badNetwork, watchGaps, failLoads, slowWeights, badFrames, staleReports, staleHosts bool
}

// New returns a fleet at the start of its schedule.
func New(o Options) *Fleet {
	c := schedule.New(o.Seed)
	f := &Fleet{options: o, clock: c, store: store.New(c), log: history.New(c.Now), addresses: make(map[string]*agent)}
	f.judge = judge.New(c.Now, f.log, c.Halt)
	f.store.Changed = f.changed
	f.callers = &callers{fleet: f}
	for n := range 2 {
		f.operators = append(f.operators, newOperator(f, n))
	}
	f.declare()
	for _, s := range f.sites {
		s.backend.Start()
		f.startAgent(s, "")
	}
	for range entryCount {
		f.startEntry()
	}
	return f
}

func (f *Fleet) declare() {
	for n := range adapterCount {
		name := ident.Adapter(fmt.Sprintf("adapter-%d", n))
		path := fmt.Sprintf("%s/v1", name)
		f.seed(&resource.Adapter{Name: name, BaseModel: baseModel, Default: "v1",
			Versions: []resource.AdapterVersion{{Version: "v1", Path: path, Digest: backend.Digest(path)}}})
	}
	for n := range 4 {
		f.addSite(resource.Endpoint{Name: ident.Endpoint(fmt.Sprintf("engine-%d", n)), Kind: resource.Engine, BaseModel: baseModel,
			Host: "host", Zone: "zone", ChecksFencing: n%2 == 0, Slots: 3, BatchSize: 4})
	}
	for n := range 2 {
		f.addSite(resource.Endpoint{Name: ident.Endpoint(fmt.Sprintf("custody-%d", n)), Kind: resource.Service, Service: serviceName,
			Host: "host", Zone: "zone", ChecksFencing: n%2 == 0, BatchSize: 4})
	}
}

func (f *Fleet) addSite(e resource.Endpoint) {
	f.seed(&e)
	f.sites = append(f.sites, &site{name: e.Name, backend: &backend.Endpoint{
		Name: e.Name, Service: e.Kind == resource.Service, ChecksFencing: e.ChecksFencing, Slots: e.Slots, Clock: f.clock, Observer: f.judge,
		WrongAdapter: f.options.Without == AdapterNames, EvictsInUse: f.options.Without == SlotsInUse,
		SlowStore: func() bool { return f.slowWeights },
		FailLoads: func() int {
			if f.failLoads {
				return 500
			}
			return 0
		},
	}})
}

// changed tells the judge and the watchers of each write of the configuration.
func (f *Fleet) changed(r store.Record) {
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
		f.judge.Declared(a, sh.Revision(resource.Name{Kind: resource.KindAdapter, Name: string(a.Name)}, r.Revision))
	}
	for _, p := range f.processes {
		if !p.dead {
			p.watched(r)
		}
	}
}

// Run lets the schedule pass: traffic and faults for the duration, then a quiet time in which all must end.
func (f *Fleet) Run(d time.Duration) Result {
	f.callers.start()
	f.startFaults()
	f.clock.Every(time.Second, func() bool {
		f.judge.Overdue(f.alive)
		f.sweep()
		return true
	})
	f.clock.Run(d)
	f.callers.over, f.calm = true, true
	f.clock.Run(quiet)
	if !f.clock.Halted() {
		f.judge.Overdue(f.alive)
	}
	return Result{
		Seed: f.options.Seed, Faults: f.faults, Violations: f.judge.Violations(), Exposed: f.judge.Exposed,
		Counts: f.judge.Counts, Digest: f.log.Digest(), Log: f.log,
	}
}

// Result is what a schedule has shown.
type Result struct {
	Seed       uint64
	Faults     int
	Violations []judge.Violation
	Exposed    int
	Counts     judge.Counts
	Digest     string
	Log        *history.Log
}

func (f *Fleet) note(subject, format string, args ...any) {
	f.log.Add([3]string{subject}, format, args...)
}

func (f *Fleet) alive(r *judge.Request) (ok bool) {
	e := f.entryOf(r.Entry)
	if e == nil || e.dead {
		return false
	}
	r.Paused = e.pauseEnd
	return true
}

// sweep drops what has ended.
func (f *Fleet) sweep() {
	f.sweepStreams()
	f.processes = slices.DeleteFunc(f.processes, func(p *process) bool { return p.dead })
	f.entries = slices.DeleteFunc(f.entries, func(e *entry) bool { return e.dead })
	for _, s := range f.sites {
		s.agents = slices.DeleteFunc(s.agents, func(a *agent) bool {
			if a.dead && f.addresses[a.address] == a {
				delete(f.addresses, a.address)
			}
			return a.dead
		})
		if !f.calm || len(s.agents) > 0 {
			f.ensureAgent(s)
		}
	}
}

// ensureAgent replaces the host of an endpoint that has had no agent for a while.
func (f *Fleet) ensureAgent(s *site) {
	if f.liveAgent(s) == nil && f.clock.Chance(200) {
		f.startAgent(s, "")
	}
}

func (f *Fleet) liveAgents(s *site) (list []*agent) {
	for _, a := range s.agents {
		if !a.dead {
			list = append(list, a)
		}
	}
	return list
}

// liveAgent returns any live agent of an endpoint.
func (f *Fleet) liveAgent(s *site) *agent {
	list := f.liveAgents(s)
	if len(list) == 0 {
		return nil
	}
	return list[f.clock.Random().IntN(len(list))]
}

func (f *Fleet) anySite() *site { return f.sites[f.clock.Random().IntN(len(f.sites))] }

func (f *Fleet) anyAdapter() ident.Adapter {
	// Half of the requests go to two adapters.
	n := f.clock.Random().IntN(adapterCount)
	if f.clock.Chance(500) {
		n %= 2
	}
	return ident.Adapter(fmt.Sprintf("adapter-%d", n))
}

func (f *Fleet) readyList() (list []*entry) {
	for _, e := range f.entries {
		if e.ready && !e.dead && !e.leaving {
			list = append(list, e)
		}
	}
	return list
}

func (f *Fleet) readyEntries() int { return len(f.readyList()) }

func (f *Fleet) anyEntry() *entry {
	list := f.readyList()
	if len(list) == 0 {
		return nil
	}
	return list[f.clock.Random().IntN(len(list))]
}

// permitHolder is the entry that holds the load budget: the oldest one that lives.
func (f *Fleet) permitHolder() *entry {
	for _, e := range f.entries {
		if e.ready && !e.dead {
			return e
		}
	}
	return nil
}

func (f *Fleet) anyExchange() *exchange {
	e := f.anyEntry()
	if e == nil || len(e.exchanges) == 0 {
		return nil
	}
	return e.exchanges[f.clock.Random().IntN(len(e.exchanges))]
}

func (f *Fleet) processOf(id ident.Process) *process {
	for _, p := range f.processes {
		if p.id == id {
			return p
		}
	}
	return nil
}

func (f *Fleet) entryOf(id ident.Process) *entry {
	for _, e := range f.entries {
		if e.id == id {
			return e
		}
	}
	return nil
}
