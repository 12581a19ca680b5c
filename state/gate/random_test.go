package gate

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"shallotring.dev/state/ident"
	"shallotring.dev/state/outcome"
)

// simulation drives a gate against a model of an engine and checks the guarantees from the model alone.
type simulation struct {
	t      *testing.T
	random *rand.Rand
	gate   *Gate
	// slots is the number of adapters that the engine holds, which operators change.
	slots int
	now   time.Time
	seed  uint64
	// digests counts the changes of the declared weights; each change is a new revision.
	digests map[ident.AdapterVersion]int
	// startID, loaded and running are the state of the modelled engine.
	startID ident.StartID
	loaded  map[ident.AdapterVersion]string
	running map[string]ident.AdapterVersion
	// late holds the unanswered loads that are still on their way to the engine.
	late []lateLoad
	// pending events are delivered in any order, some of them twice.
	pending []Event
	sent    []Run
	starts  map[ident.TryID]int
	ran     map[ident.TryID]bool
	notRun  map[ident.TryID]bool
	// accepted counts the accepted and unfinished calls of each try.
	accepted   map[ident.TryID]int
	keys       map[callerKey]ident.TryID
	drainStart time.Time
	drained    bool
	completed  int
}

// lateLoad is a load that takes effect at a time.
type lateLoad struct {
	Load
	at time.Time
}

// maxSlots is the number of adapters that the modelled engine holds at most.
const maxSlots = 3

func newSimulation(t *testing.T, seed uint64, fencing bool) *simulation {
	c := DefaultConfig()
	c.Endpoint, c.Incarnation, c.Slots, c.BatchSize, c.QueueLimit, c.ChecksFencing = "e1", 1, 2, 3, 12, fencing
	return &simulation{
		t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 1)), gate: New(c), slots: c.Slots, now: time.Unix(1000, 0),
		digests: make(map[ident.AdapterVersion]int), startID: "s0", loaded: make(map[ident.AdapterVersion]string),
		running: make(map[string]ident.AdapterVersion), starts: make(map[ident.TryID]int), ran: make(map[ident.TryID]bool),
		notRun: make(map[ident.TryID]bool), accepted: make(map[ident.TryID]int), keys: make(map[callerKey]ident.TryID),
	}
}

func (s *simulation) fail(format string, args ...any) {
	s.t.Helper()
	s.t.Fatalf("seed %d: %s", s.seed, fmt.Sprintf(format, args...))
}

func (s *simulation) chance(percent int) bool { return s.random.IntN(100) < percent }

func (s *simulation) digest(av ident.AdapterVersion) string {
	return fmt.Sprintf("%s#%d", av, s.digests[av])
}

func (s *simulation) adapter() ident.AdapterVersion {
	return ident.AdapterVersion{Adapter: ident.Adapter(fmt.Sprint("a", s.random.IntN(5))), Version: "v1"}
}

// randomEvent advances the time and sends one random event to the gate or changes the modelled engine.
func (s *simulation) randomEvent() {
	s.now = s.now.Add(time.Duration(s.random.IntN(60)) * time.Millisecond)
	s.deliverLate()
	switch n := s.random.IntN(100); {
	case n < 25:
		s.request()
	case n < 60:
		s.deliver()
	case n < 66 && len(s.sent) > 0:
		s.step(s.sent[s.random.IntN(len(s.sent))])
	case n < 70 && len(s.sent) > 0:
		s.step(Settle{ID: s.sent[s.random.IntN(len(s.sent))].ID, Cancel: s.chance(50)})
	case n < 73 && len(s.sent) > 0:
		s.step(SenderGone{ID: s.sent[s.random.IntN(len(s.sent))].ID})
	case n < 75:
		s.settleBeforeRun()
	case n < 76:
		s.restart()
	case n < 77:
		s.takeOver()
	case n < 78:
		s.digests[s.adapter()]++
	case n < 79:
		s.step(StartIDObserved{StartID: ident.StartID(fmt.Sprint("s", s.random.IntN(3)))})
	case n < 80:
		s.slots = 1 + s.random.IntN(maxSlots)
		s.step(Configure{Slots: s.slots})
	default:
		s.step(Tick{})
	}
}

func (s *simulation) deliverLate() {
	s.late = slices.DeleteFunc(s.late, func(l lateLoad) bool {
		if s.now.Before(l.at) {
			return false
		}
		if len(s.loaded) >= maxSlots {
			s.fail("late load of %s into a full engine", l.Adapter)
		}
		s.loaded[l.Adapter] = l.Path
		return true
	})
}

func (s *simulation) request() {
	av := s.adapter()
	r := Run{
		ID:       ident.TryID{RequestID: ident.RequestID(fmt.Sprint("r", len(s.sent))), Try: 1, Incarnation: s.gate.Incarnation},
		Endpoint: "e1", Adapter: av, Caller: "c1", Share: 1, Deadline: s.now.Add(time.Duration(1+s.random.IntN(8000)) * time.Millisecond),
		Revision:    ident.Revision(s.digests[av]),
		Declaration: Declaration{Declared: true, Revision: ident.Revision(s.digests[av]), Path: s.digest(av), Digest: s.digest(av)},
	}
	if s.chance(40) {
		r.Key = ident.Key(fmt.Sprint("k", s.random.IntN(len(s.sent)+1)))
	}
	switch s.random.IntN(25) {
	case 0:
		r.ID.Incarnation--
	case 1:
		r.Revision--
	}
	s.sent = append(s.sent, r)
	s.step(r)
}

// settleBeforeRun settles a try before its Run arrives.
func (s *simulation) settleBeforeRun() {
	r := Run{ID: ident.TryID{RequestID: ident.RequestID(fmt.Sprint("r", len(s.sent))), Try: 1, Incarnation: s.gate.Incarnation}}
	av := s.adapter()
	r.Endpoint, r.Adapter, r.Deadline = "e1", av, s.now.Add(time.Minute)
	r.Revision = ident.Revision(s.digests[av])
	r.Declaration = Declaration{Declared: true, Revision: r.Revision, Path: s.digest(av), Digest: s.digest(av)}
	s.sent = append(s.sent, r)
	s.step(Settle{ID: r.ID})
}

func (s *simulation) restart() {
	s.startID = ident.StartID(fmt.Sprint("s", s.random.Uint32()))
	s.late = nil
	clear(s.loaded)
	clear(s.running)
}

// takeOver renews the claim after another agent has held it and left a running request at the engine.
func (s *simulation) takeOver() {
	if list := s.listed(); len(list) > 0 {
		s.running[fmt.Sprint("other-agent", s.random.Uint32(), "/1")] = list[0].Adapter
	}
	s.step(Claim{Status: ClaimLost, Incarnation: s.gate.Incarnation})
	s.step(Claim{Status: ClaimHeld, Incarnation: s.gate.Incarnation + 1})
}

func (s *simulation) deliver() {
	if names := slices.Sorted(maps.Keys(s.running)); len(names) > 0 && strings.HasPrefix(names[0], "other-agent") && s.chance(10) {
		delete(s.running, names[0])
	}
	if len(s.pending) == 0 {
		return
	}
	i := s.random.IntN(len(s.pending))
	e := s.pending[i]
	if !s.chance(10) {
		s.pending = append(s.pending[:i], s.pending[i+1:]...)
	}
	if x, ok := e.(Ended); ok {
		delete(s.running, engineRequestID(x.ID))
	}
	s.step(e)
}

func (s *simulation) step(e Event) {
	s.t.Helper()
	for _, c := range s.gate.Step(s.now, e) {
		s.execute(c)
	}
}

func (s *simulation) execute(c Command) {
	s.t.Helper()
	switch c.(type) {
	case Start, Load, Unload:
		s.checkNoRequestOfOtherAgent(c)
	}
	switch x := c.(type) {
	case Accept:
		s.accepted[x.ID]++
		if !s.drainStart.IsZero() {
			s.fail("G6: %v admitted while leaving", x.ID)
		}
	case Refuse:
		s.recordNotRun(x.ID)
	case Settled:
		if x.State == NeverStarted {
			s.recordNotRun(x.ID)
		}
	case Finish:
		s.finish(x)
	case Start:
		s.start(x)
	case Cancel:
		delete(s.running, engineRequestID(x.ID))
		s.pending = append(s.pending, Ended{ID: x.ID, Outcome: outcome.Unknown})
	case CancelRequest: // takes effect later, in deliver
	case Load:
		s.load(x)
	case Unload:
		s.unload(x)
	case RequestPermits:
		s.pending = append(s.pending, Permits{Granted: s.random.IntN(2), Until: s.now.Add(2 * time.Second)})
	case Survey:
		s.survey(x)
	case Restarted:
		s.late = nil // they were on their way to the previous process
	case Drained:
		s.drained = true
	case Violation:
		s.fail("violation %+v", x)
	}
}

// checkNoRequestOfOtherAgent fails if a command is sent while requests of another agent run at an engine that ignores
// fencing numbers.
func (s *simulation) checkNoRequestOfOtherAgent(c Command) {
	for name := range s.running {
		if !s.gate.ChecksFencing && strings.HasPrefix(name, "other-agent") {
			s.fail("G2: %+v while %s runs", c, name)
		}
	}
}

func (s *simulation) recordNotRun(id ident.TryID) {
	if s.ran[id] {
		s.fail("G4: %v is reported as not run but ran", id)
	}
	s.notRun[id] = true
}

func (s *simulation) finish(x Finish) {
	s.accepted[x.ID]--
	if s.accepted[x.ID] != 0 {
		s.fail("%v finished more than once", x.ID)
	}
	if x.Outcome == outcome.NotRun {
		s.recordNotRun(x.ID)
	}
	if x.Outcome == outcome.Completed {
		s.completed++
	}
}

func (s *simulation) start(x Start) {
	s.starts[x.ID]++
	t := s.gate.tries[x.ID]
	k := callerKey{t.Caller, t.Key}
	switch {
	case s.starts[x.ID] > 1:
		s.fail("G5: %v started twice", x.ID)
	case s.notRun[x.ID]:
		s.fail("G4: %v started after it was reported as not run", x.ID)
	case t.Key != "" && s.keys[k] != ident.TryID{} && s.ran[s.keys[k]]:
		s.fail("G5: %v and %v ran with the key %s", s.keys[k], x.ID, t.Key)
	case !s.drainStart.IsZero() && !s.now.Before(s.drainStart.Add(s.gate.DrainGrace)):
		s.fail("G6: %v started after the grace period of the drain", x.ID)
	}
	digest, ok := s.loaded[x.Adapter]
	if !ok { // the engine responds with 404
		s.pending = append(s.pending, Ended{ID: x.ID, Outcome: outcome.NotRun})
		return
	}
	if digest != t.Declaration.Digest {
		s.fail("G1: %v named %s and ran on %s", x.ID, t.Declaration.Digest, digest)
	}
	s.ran[x.ID], s.keys[k] = true, x.ID
	s.running[engineRequestID(x.ID)] = x.Adapter
	result := outcome.Completed
	if s.chance(10) {
		result = outcome.Unknown
	}
	s.pending = append(s.pending, Ended{ID: x.ID, Outcome: result, Answer: &Answer{Status: 200}})
}

func (s *simulation) load(x Load) {
	if len(s.loaded) >= s.slots {
		s.fail("load of %s into an engine that holds %d adapters of %d", x.Adapter, len(s.loaded), s.slots)
	}
	e := LoadEnded{Number: x.Number, Digest: x.Path}
	n := s.random.IntN(100)
	if n < 80 {
		s.loaded[x.Adapter] = x.Path
	}
	if n >= 70 {
		e.Failed, e.NoEffect, e.Digest = true, n >= 90, ""
		e.Unanswered = n < 90 && s.chance(50)
	}
	if e.Unanswered && n >= 80 {
		s.late = append(s.late, lateLoad{x, s.now.Add(time.Duration(s.random.Int64N(int64(s.gate.LoadTimeout))))})
	}
	s.pending = append(s.pending, e)
}

func (s *simulation) unload(x Unload) {
	for name, av := range s.running {
		if av == x.Adapter {
			s.fail("G2: %s evicted while %s runs", av, name)
		}
	}
	n := s.random.IntN(100)
	if n < 90 {
		delete(s.loaded, x.Adapter)
	}
	s.pending = append(s.pending, UnloadEnded{Number: x.Number, Failed: n >= 80})
}

func (s *simulation) survey(x Survey) {
	e := Surveyed{Number: x.Number, Failed: s.chance(10), StartID: s.startID, Adapters: s.listed()}
	for _, name := range slices.Sorted(maps.Keys(s.running)) {
		e.Running = append(e.Running, Request{ID: name, Adapter: s.running[name]})
	}
	s.pending = append(s.pending, e)
}

// listed returns the engine's list of adapters in a fixed order, so that a seed gives the same run each time.
func (s *simulation) listed() (list []ListedAdapter) {
	var names []ident.AdapterVersion
	for av := range s.loaded {
		names = append(names, av)
	}
	sortAdapters(names)
	for _, av := range names {
		list = append(list, ListedAdapter{Adapter: av, Digest: s.loaded[av]})
	}
	return list
}

// drain drains the gate: every admitted try must finish and the gate must report that it is drained.
func (s *simulation) drain() {
	s.step(Drain{})
	s.drainStart = s.now
	for range 2000 {
		s.randomEvent()
	}
	for i := 0; i < 2000 && !s.drained; i++ {
		s.now = s.now.Add(100 * time.Millisecond)
		s.deliver()
		s.step(Tick{})
	}
	if !s.drained {
		s.fail("the drain does not finish: %+v", s.gate.Report())
	}
	for id, n := range s.accepted {
		if n != 0 {
			s.fail("%v was admitted and never finished", id)
		}
	}
}

// Guards against violations of G1, G2, G4, G5 and G6 under any order, delay or duplication of events, with restarts, failed
// loads, takeovers and a drain.
func TestRandomSchedules(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		t.Run(fmt.Sprintf("fencing=%v", fencing), func(t *testing.T) {
			completed := 0
			for seed := range uint64(60) {
				s := newSimulation(t, seed, fencing)
				for range 1500 {
					s.randomEvent()
				}
				s.drain()
				completed += s.completed
			}
			t.Log("completed", completed)
			if completed < 1000 {
				t.Errorf("only %d tries completed; the schedules do not exercise the gate", completed)
			}
		})
	}
}
