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

// member is one place of the fleet; a restart replaces its source.
type member struct {
	*Source
	link   *link
	paused bool
}

// fleet checks G8 after each step of a seeded schedule.
type fleet struct {
	*world
	t       *testing.T
	random  *rand.Rand
	members [fleetSize]*member
	down    bool
	// shares holds the value that each revision wrote.
	shares map[ident.Revision]map[string]float64
	// accepted is the newest revision that was in force at each live process at some time.
	accepted ident.Revision
	// stale holds the processes that were counted as gone and may have an older configuration.
	stale map[*Source]bool
	steps map[string]int
}

func newFleet(t *testing.T, seed uint64) *fleet {
	f := &fleet{
		world:  newWorld(t),
		t:      t,
		random: rand.New(rand.NewPCG(seed, 0)),
		shares: make(map[ident.Revision]map[string]float64),
		stale:  make(map[*Source]bool),
		steps:  make(map[string]int),
	}
	for i := range f.members {
		f.members[i] = &member{link: &link{world: f.world}}
		f.restart(i)
	}
	return f
}

func (f *fleet) restart(i int) {
	m := f.members[i]
	id := entry(fmt.Sprintf("p%d", i), ident.Zone(fmt.Sprintf("z%d", i%2)))
	m.paused = false
	m.Source = New(id, m.link, WithClock(f.clock), WithWatchers(1), WithPeers(func() []Peer { return f.peers(i) }))
}

func (f *fleet) peers(i int) (list []Peer) {
	for j, m := range f.members {
		silent := func() bool { return m.paused || f.members[i].paused }
		if j != i {
			list = append(list, Peer{m.identity.Process, m.identity.Zone, changer{m.Source, silent}})
		}
	}
	return list
}

// step takes one random action.
func (f *fleet) step() {
	i := f.random.IntN(fleetSize)
	m := f.members[i]
	actions := []struct {
		name   string
		weight int
		do     func()
	}{
		{"write", 6, f.write},
		{"sync", 14, func() { f.sync(m) }},
		{"check", 6, func() {
			if !m.paused {
				m.check(f.t.Context())
			}
		}},
		{"advance", 6, func() { f.clock.Advance(probeInterval).MustWait(f.t.Context()) }},
		{"outage", 1, func() { f.setDown(!f.down) }},
		{"gap", 1, f.service.GapWatches},
		{"cut", 1, func() { m.link.cut = !m.link.cut }},
		{"pause", 1, func() { f.pause(m) }},
		{"restart", 1, func() { f.restart(i) }},
	}
	total := 0
	for _, a := range actions {
		total += a.weight
	}
	n := f.random.IntN(total)
	for _, a := range actions {
		if n -= a.weight; n < 0 {
			f.steps[a.name]++
			a.do()
			return
		}
	}
}

func (f *fleet) setDown(down bool) {
	f.down = down
	o := standin.OutageNone
	if down {
		o = standin.OutageRefused
	}
	f.service.SetOutage(o)
}

// pause stops a process that the fleet then counts as gone, or lets it return with its old configuration.
// At most one process is gone or stale at a time, so that most of the peers of a new process are up to date.
func (f *fleet) pause(m *member) {
	for _, x := range f.members {
		if x != m && (x.paused || x.Generation() < f.accepted) {
			return
		}
	}
	m.paused = !m.paused
	f.stale[m.Source] = true
}

func (f *fleet) sync(m *member) {
	if m.paused {
		return
	}
	if m.watches() {
		_ = m.followService(f.t.Context())
		return
	}
	m.setDirect(false)
	if m.start(f.t.Context()) != nil {
		return
	}
	for _, p := range m.sources() {
		if a, err := m.poll(f.t.Context(), p, 0); err == nil && a.Confirmed {
			return
		}
	}
	_ = m.fallback(f.t.Context())
}

// write changes one of a few callers, sometimes with a lost answer and sometimes from a stale revision.
func (f *fleet) write() {
	if f.down {
		return
	}
	if f.random.IntN(3) == 0 {
		f.service.LoseAnswers(1)
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
	at, err := f.editor.Put(f.t.Context(), caller(name, value), expect)
	f.service.LoseAnswers(0)
	if stale != (err != nil) {
		f.t.Fatalf("write of %s, stale %v: %v", name, stale, err)
	}
	if err == nil {
		f.shares[at] = map[string]float64{name: value}
	}
}

// verify checks that no shard went back and that a generation is a whole prefix of the history.
func (f *fleet) verify(before [fleetSize]*Source, shards [fleetSize]*resource.Set) {
	lowest := ident.Revision(f.service.Revision())
	for i, m := range f.members {
		if before[i] == m.Source {
			for number := range resource.ShardCount {
				_, old := shards[i].Shard(number)
				if _, now := m.Current().Shard(number); now < old {
					f.t.Fatalf("%s: shard %02x went from %d to %d", m.identity.Process, number, old, now)
				}
			}
		}
		f.verifyPrefix(m)
		if !m.paused {
			lowest = min(lowest, m.Generation())
		}
	}
	f.accepted = max(f.accepted, lowest)
}

func (f *fleet) verifyPrefix(m *member) {
	newest := make(map[string]ident.Revision)
	for at, change := range f.shares {
		for name := range change {
			if at <= m.Generation() {
				newest[name] = max(newest[name], at)
			}
		}
	}
	for name, at := range newest {
		if r := m.Current().ResourceRevision(callerName(name)); r < at {
			f.t.Fatalf("%s: generation %d without %s at %d, it is at %d", m.identity.Process, m.Generation(), name, at, r)
		}
	}
}

// verifyAccepted checks that a new process does not start behind an accepted revision.
func (f *fleet) verifyAccepted() {
	for _, m := range f.members {
		if !m.paused && m.Generation() >= f.accepted {
			delete(f.stale, m.Source)
		}
		if g := m.Generation(); g > 0 && g < f.accepted && !f.stale[m.Source] {
			f.t.Fatalf("%s: generation %d is behind the accepted revision %d", m.identity.Process, g, f.accepted)
		}
	}
}

func TestRandomisedConfiguration(t *testing.T) {
	// Guards G8 against combinations of outages, gaps, lost answers, cut-off, paused and restarted processes.
	for seed := range uint64(randomSeeds) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			f := newFleet(t, seed)
			for range randomSteps {
				var sources [fleetSize]*Source
				var sets [fleetSize]*resource.Set
				for i, m := range f.members {
					sources[i], sets[i] = m.Source, m.Current()
				}
				f.step()
				f.verify(sources, sets)
				f.verifyAccepted()
			}
			f.heal()
			t.Log(f.steps, "accepted", f.accepted, "of", f.service.Revision())
		})
	}
}

// heal ends all faults; each process must then have the newest revision.
func (f *fleet) heal() {
	f.setDown(false)
	for _, m := range f.members {
		m.paused, m.link.cut = false, false
	}
	for range 20 {
		f.clock.Advance(time.Second).MustWait(f.t.Context())
		for _, m := range f.members {
			f.sync(m)
			m.check(f.t.Context())
		}
	}
	for _, m := range f.members {
		if m.Generation() < ident.Revision(f.service.Revision()) || m.Isolated() {
			f.t.Errorf("%s: generation %d of %d, isolated %v after all faults ended", m.identity.Process, m.Generation(),
				f.service.Revision(), m.Isolated())
		}
	}
}
