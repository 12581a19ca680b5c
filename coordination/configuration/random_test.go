package configuration

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	standin "shallotring.dev/standin/keyvalue"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/resource"
)

const (
	fleetSize   = 5
	randomSteps = 300
	randomSeeds = 20
)

// process is one process of the fleet; a restart replaces its source.
type process struct {
	*Source
	link   *link
	paused bool
}

// fleet takes seeded random actions and checks after each one that no shard returns to an older revision (guarantee G8).
type fleet struct {
	*fixture
	t           *testing.T
	random      *rand.Rand
	processes   [fleetSize]*process
	serviceDown bool
	// shares maps the revision of each write to the share that it gave a caller.
	shares map[ident.Revision]map[string]float64
	// accepted is the newest revision that was in force at every process that was not paused.
	accepted ident.Revision
	// stale has the processes that were paused and may have an older configuration.
	stale        map[*Source]bool
	actionCounts map[string]int
}

func newFleet(t *testing.T, seed uint64) *fleet {
	f := &fleet{
		fixture:      newFixture(t),
		t:            t,
		random:       rand.New(rand.NewPCG(seed, 0)),
		shares:       make(map[ident.Revision]map[string]float64),
		stale:        make(map[*Source]bool),
		actionCounts: make(map[string]int),
	}
	for i := range f.processes {
		f.processes[i] = &process{link: &link{fixture: f.fixture}}
		f.restart(i)
	}
	return f
}

func (f *fleet) restart(i int) {
	proc := f.processes[i]
	id := entryIdentity(fmt.Sprintf("p%d", i), ident.Zone(fmt.Sprintf("z%d", i%2)))
	proc.paused = false
	proc.Source = New(id, proc.link, WithClock(f.clock), WithWatchers(1), WithPeers(func() []Peer { return f.peers(i) }))
}

func (f *fleet) peers(i int) (list []Peer) {
	for j, proc := range f.processes {
		unresponsive := func() bool { return proc.paused || f.processes[i].paused }
		if j != i {
			list = append(list, Peer{proc.identity.Process, proc.identity.Zone, sourcePeer{proc.Source, unresponsive}})
		}
	}
	return list
}

// step takes one random action.
func (f *fleet) step() {
	i := f.random.IntN(fleetSize)
	proc := f.processes[i]
	actions := []struct {
		name   string
		weight int
		do     func()
	}{
		{"write", 6, f.writeCaller},
		{"sync", 14, func() { f.sync(proc) }},
		{"check", 6, func() {
			if !proc.paused {
				proc.checkContact(f.t.Context())
			}
		}},
		{"advance", 6, func() { f.clock.Advance(probeInterval).MustWait(f.t.Context()) }},
		{"outage", 1, func() { f.setServiceDown(!f.serviceDown) }},
		{"gap", 1, f.service.CompactAndCutWatches},
		{"cut", 1, func() { proc.link.cut = !proc.link.cut }},
		{"pause", 1, func() { f.pause(proc) }},
		{"restart", 1, func() { f.restart(i) }},
	}
	total := 0
	for _, a := range actions {
		total += a.weight
	}
	n := f.random.IntN(total)
	for _, a := range actions {
		if n -= a.weight; n < 0 {
			f.actionCounts[a.name]++
			a.do()
			return
		}
	}
}

func (f *fleet) setServiceDown(down bool) {
	f.serviceDown = down
	o := standin.OutageNone
	if down {
		o = standin.OutageRefused
	}
	f.service.SetOutage(o)
}

// pause stops a process, or resumes it with its old configuration.
// At most one process is paused or stale at a time, so that most of the peers of a new process are up to date.
func (f *fleet) pause(proc *process) {
	for _, x := range f.processes {
		if x != proc && (x.paused || x.Generation() < f.accepted) {
			return
		}
	}
	proc.paused = !proc.paused
	f.stale[proc.Source] = true
}

func (f *fleet) sync(proc *process) {
	if proc.paused {
		return
	}
	if proc.shouldWatch() {
		_ = proc.followService(f.t.Context())
		return
	}
	proc.setSynced(false)
	if proc.loadInitial(f.t.Context()) != nil {
		return
	}
	for _, p := range proc.watchingPeers() {
		if a, err := proc.poll(f.t.Context(), p, 0); err == nil && a.Confirmed {
			return
		}
	}
	_ = proc.fallbackRead(f.t.Context())
}

// writeCaller changes one of a few callers, sometimes with a lost response and sometimes from a stale revision.
func (f *fleet) writeCaller() {
	if f.serviceDown {
		return
	}
	if f.random.IntN(3) == 0 {
		f.service.LoseResponses(1)
	}
	name := fmt.Sprintf("c%d", f.random.IntN(12))
	_, expect, err := f.editor.Read(f.t.Context(), callerName(name))
	if err != nil {
		f.t.Fatal(err)
	}
	stale := f.random.IntN(5) == 0 && expect > 0
	if stale {
		expect--
	}
	value := float64(f.service.Revision() + 1)
	at, err := f.editor.Put(f.t.Context(), callerResource(name, value), expect)
	f.service.LoseResponses(0)
	if stale != (err != nil) {
		f.t.Fatalf("write of %s, stale %v: %v", name, stale, err)
	}
	if err == nil {
		f.shares[at] = map[string]float64{name: value}
	}
}

// verify checks that no shard returned to an older revision, and calls verifyGeneration for each process.
func (f *fleet) verify(before [fleetSize]*Source, shards [fleetSize]*resource.Set) {
	lowest := ident.Revision(f.service.Revision())
	for i, proc := range f.processes {
		if before[i] == proc.Source {
			for number := range resource.ShardCount {
				_, old := shards[i].Shard(number)
				if _, now := proc.Current().Shard(number); now < old {
					f.t.Fatalf("%s: shard %02x went from %d to %d", proc.identity.Process, number, old, now)
				}
			}
		}
		f.verifyGeneration(proc)
		if !proc.paused {
			lowest = min(lowest, proc.Generation())
		}
	}
	f.accepted = max(f.accepted, lowest)
}

// verifyGeneration checks that every write up to the generation of a process is in force there.
func (f *fleet) verifyGeneration(proc *process) {
	newest := make(map[string]ident.Revision)
	for at, change := range f.shares {
		for name := range change {
			if at <= proc.Generation() {
				newest[name] = max(newest[name], at)
			}
		}
	}
	for name, at := range newest {
		if r := proc.Current().ResourceRevision(callerName(name)); r < at {
			f.t.Fatalf("%s: generation %d without %s at %d, it is at %d", proc.identity.Process, proc.Generation(), name, at, r)
		}
	}
}

// verifyAccepted checks that a new process does not start with a generation below the accepted revision.
func (f *fleet) verifyAccepted() {
	for _, proc := range f.processes {
		if !proc.paused && proc.Generation() >= f.accepted {
			delete(f.stale, proc.Source)
		}
		if g := proc.Generation(); g > 0 && g < f.accepted && !f.stale[proc.Source] {
			f.t.Fatalf("%s: generation %d is behind the accepted revision %d", proc.identity.Process, g, f.accepted)
		}
	}
}

// TestRandomisedConfiguration guards against a shard that returns to an older revision (guarantee G8) after some
// combination of outages, watch gaps, lost responses, and processes that are cut off, paused or restarted.
func TestRandomisedConfiguration(t *testing.T) {
	for seed := range uint64(randomSeeds) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			f := newFleet(t, seed)
			for range randomSteps {
				var sources [fleetSize]*Source
				var sets [fleetSize]*resource.Set
				for i, proc := range f.processes {
					sources[i], sets[i] = proc.Source, proc.Current()
				}
				f.step()
				f.verify(sources, sets)
				f.verifyAccepted()
			}
			f.endFaults()
			t.Log(f.actionCounts, "accepted", f.accepted, "of", f.service.Revision())
		})
	}
}

// endFaults ends all faults; each process must then reach the newest revision.
func (f *fleet) endFaults() {
	f.setServiceDown(false)
	for _, proc := range f.processes {
		proc.paused, proc.link.cut = false, false
	}
	for range 20 {
		f.clock.Advance(time.Second).MustWait(f.t.Context())
		for _, proc := range f.processes {
			f.sync(proc)
			proc.checkContact(f.t.Context())
		}
	}
	for _, proc := range f.processes {
		if proc.Generation() < ident.Revision(f.service.Revision()) || proc.Isolated() {
			f.t.Errorf("%s: generation %d of %d, isolated %v after all faults ended", proc.identity.Process, proc.Generation(),
				f.service.Revision(), proc.Isolated())
		}
	}
}
