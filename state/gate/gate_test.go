package gate

import (
	"fmt"
	"testing"
	"time"

	"shallotring.dev/state/ident"
	"shallotring.dev/state/outcome"
)

var (
	startTime = time.Unix(5000, 0)
	a1        = ident.AdapterVersion{Adapter: "a1", Version: "v1"}
	a2        = ident.AdapterVersion{Adapter: "a2", Version: "v1"}
)

// newGate returns the gate of an engine at incarnation 5 after a survey that lists a1 as loaded.
func newGate(t testing.TB, change func(*Config)) *Gate {
	t.Helper()
	c := DefaultConfig()
	c.Endpoint, c.Incarnation, c.Slots, c.BatchSize, c.ChecksFencing = "e1", 5, 1, 2, true
	if change != nil {
		change(&c)
	}
	g := New(c)
	for _, x := range g.Step(startTime, Tick{}) {
		if s, ok := x.(Survey); ok {
			g.Step(startTime, Surveyed{Number: s.Number, StartID: "s1", Adapters: []ListedAdapter{{Adapter: a1, Digest: "d"}}})
		}
	}
	return g
}

func newRun(name string, av ident.AdapterVersion) Run {
	return Run{
		ID: ident.TryID{RequestID: ident.RequestID(name), Try: 1, Incarnation: 5}, Endpoint: "e1", Adapter: av, Caller: "c",
		Deadline: startTime.Add(time.Minute), Revision: 3, Declaration: Declaration{Declared: true, Revision: 3, Path: "p", Digest: "d"},
	}
}

// commandNames returns the type of each command but Survey, with its reason, outcome, state or guarantee. A state is printed
// as its number: 0 for NeverStarted, 1 for Running, 2 for Completed and 3 for Unknown.
func commandNames(commands []Command) (list []string) {
	for _, c := range commands {
		switch x := c.(type) {
		case Refuse:
			list = append(list, "refuse "+string(x.Refusal.Reason))
		case Finish:
			text := "finish " + string(x.Outcome)
			if x.Refusal != nil {
				text += " " + string(x.Refusal.Reason)
			}
			list = append(list, text)
		case Settled:
			list = append(list, fmt.Sprint("settled ", x.State))
		case Violation:
			list = append(list, "violation "+string(x.Guarantee))
		case Survey:
		default:
			list = append(list, fmt.Sprintf("%T", c)[len("gate."):])
		}
	}
	return list
}

func expect(t *testing.T, what string, commands []Command, want ...string) {
	t.Helper()
	if got := commandNames(commands); fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

// Guards against a try that runs although it must be refused, and against a refusal with another reason than the one by which
// the entry decides what to do.
func TestRefusals(t *testing.T) {
	keyed := newRun("first", a1)
	keyed.Key = "k"
	tests := []struct {
		name   string
		before []Event
		change func(*Run)
		want   string
	}{
		{"newer revision at the gate (G1)", nil, func(r *Run) { r.Revision = 2 }, "refuse stale-revision"},
		{"newer revision at the sender (G1)", nil, func(r *Run) { r.Revision = 4 }, "refuse stale-revision"},
		{"adapter is not declared", nil, func(r *Run) { r.Declaration.Declared = false }, "refuse unknown-adapter"},
		{"no adapter at an engine", nil, func(r *Run) { r.Adapter = ident.AdapterVersion{} }, "refuse unknown-adapter"},
		{"previous incarnation (G5)", nil, func(r *Run) { r.ID.Incarnation = 4 }, "refuse stale-claim"},
		{"later incarnation", nil, func(r *Run) { r.ID.Incarnation = 6 }, "refuse stale-claim"},
		{"try for another endpoint", nil, func(r *Run) { r.Endpoint = "e2" }, "refuse stale-claim"},
		{"leaving (G6)", []Event{Drain{}}, nil, "refuse leaving"},
		{"leaving by configuration (G6)", []Event{Configure{Leaving: true}}, nil, "refuse leaving"},
		{"claim lost", []Event{Claim{Status: ClaimLost, Incarnation: 5}}, nil, "refuse claim-lost"},
		{"keyed try while the claim is uncertain", []Event{Claim{Status: ClaimUncertain, Incarnation: 5}}, func(r *Run) { r.Key = "k" }, "refuse ledger-down"},
		{"no deadline", nil, func(r *Run) { r.Deadline = time.Time{} }, "refuse deadline"},
		{"deadline beyond MaxDeadline", nil, func(r *Run) { r.Deadline = startTime.Add(2 * time.Hour) }, "refuse deadline"},
		{"deadline passed", nil, func(r *Run) { r.Deadline = startTime }, "refuse deadline"},
		{"second try with a key (G5)", []Event{keyed}, func(r *Run) { r.Key = "k" }, "refuse duplicate"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := newGate(t, nil)
			for _, e := range tt.before {
				g.Step(startTime, e)
			}
			r := newRun("r1", a1)
			if tt.change != nil {
				tt.change(&r)
			}
			expect(t, "first", g.Step(startTime, r)[:1], tt.want)
		})
	}
}

// Guards against an agent that starts tries while its claim is uncertain although the endpoint ignores fencing numbers, and
// against one that stops needlessly at an endpoint that checks them.
func TestUncertainClaim(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		g := newGate(t, func(c *Config) { c.ChecksFencing = fencing })
		g.Step(startTime, Claim{Status: ClaimUncertain, Incarnation: 5})
		want := []string{"refuse claim-lost"}
		if fencing {
			want = []string{"Accept", "Start"}
		}
		expect(t, fmt.Sprint("fencing=", fencing), g.Step(startTime, newRun("r1", a1)), want...)
	}
}

// Guards against a late copy of a try that is admitted after the gate has forgotten the try (G4, G5), and against memory that
// grows without bound.
func TestForgottenTryIsNotAdmitted(t *testing.T) {
	g := newGate(t, func(c *Config) { c.MaxRemembered = 4 })
	ran, settled, keyed := newRun("ran", a1), newRun("settled", a1), newRun("keyed", a1)
	keyed.Key = "k"
	g.Step(startTime, Settle{ID: settled.ID})
	for _, r := range []Run{ran, keyed} {
		g.Step(startTime, r)
		g.Step(startTime, Ended{ID: r.ID, Outcome: outcome.Completed, Answer: &Answer{Status: 200, Body: []byte("x")}})
	}
	expect(t, "copy of a finished try", g.Step(startTime, ran), "Abandon")
	g.Step(startTime, newRun("last", a2))
	expect(t, "full memory", g.Step(startTime, newRun("more", a1)), "Abandon")
	expect(t, "settle with full memory", g.Step(startTime, Settle{ID: newRun("other", a1).ID}), "settled 3")
	for after := time.Second; after < 3*time.Hour; after += time.Minute {
		now := startTime.Add(after)
		for _, r := range []Run{ran, settled, keyed} {
			for _, c := range g.Step(now, r) {
				if _, ok := c.(Accept); ok {
					t.Fatalf("a copy of %q was admitted after %v", r.ID.RequestID, after)
				}
			}
		}
		// The sender's deadline is at most MaxDeadline after the request began, which was before the Settle.
		settled.Deadline = startTime.Add(g.MaxDeadline)
		if _, ok := g.tries[settled.ID]; !ok && now.Before(settled.Deadline) {
			t.Fatalf("the tombstone was forgotten after %v", after)
		}
	}
	expect(t, "settle of a keyed try after hours", g.Step(startTime.Add(3*time.Hour), Settle{ID: keyed.ID}), "settled 2")
	g.Step(startTime.Add(26*time.Hour), Tick{})
	if n := g.Report().Remembered; n != 0 {
		t.Errorf("%d tries remembered after a day", n)
	}
}

// Guards against stored responses without a bound, and against a truncated response that looks complete.
func TestAnswersAreBounded(t *testing.T) {
	g := newGate(t, func(c *Config) { c.MaxAnswers = 1 })
	for i, size := range []int{MaxAnswerBytes, MaxAnswerBytes + 1, 1} {
		r := newRun(fmt.Sprint("r", i), a1)
		r.Key = ident.Key(fmt.Sprint("k", i))
		g.Step(startTime, r)
		g.Step(startTime, Ended{ID: r.ID, Outcome: outcome.Completed, Answer: &Answer{Status: 200, Body: make([]byte, size)}})
		s := g.Step(startTime, Settle{ID: r.ID})[0].(Settled)
		if whole := size <= MaxAnswerBytes; s.Answer.Truncated == whole || (len(s.Answer.Body) == size) != whole {
			t.Errorf("response of %d bytes: truncated=%v, %d bytes stored", size, s.Answer.Truncated, len(s.Answer.Body))
		}
	}
	first := g.Step(startTime, Settle{ID: newRun("r0", a1).ID})[0].(Settled)
	if !first.Answer.Truncated || first.Answer.Body != nil {
		t.Error("the body of the oldest response is still stored beyond MaxAnswers")
	}
}

// Guards against a failing adapter that is loaded again and again, and against tries that continue to wait although it cannot be loaded.
func TestLoadFailuresBackOff(t *testing.T) {
	g := newGate(t, func(c *Config) { c.Slots = 2 })
	g.Step(startTime, Permits{Granted: 10, Until: startTime.Add(time.Minute)})
	out := g.Step(startTime, newRun("r1", a2))
	expect(t, "first load", out, "Accept", "Load")
	now := startTime
	loads := 1
	for range 200 {
		for _, c := range out {
			if x, ok := c.(Load); ok {
				loads++
				out = g.Step(now, LoadEnded{Number: x.Number, Failed: true, NoEffect: true, Detail: "disk"})
			}
		}
		if g.Report().Queued == 0 {
			break
		}
		now = g.NextWake()
		out = g.Step(now, Tick{})
	}
	if loads-1 != g.MaxLoadAttempts {
		t.Errorf("%d loads, want %d", loads-1, g.MaxLoadAttempts)
	}
	// The pause is LoadBackoff after the first failure and twice that after the second.
	if wait := now.Sub(startTime); wait != 3*g.LoadBackoff {
		t.Errorf("gave up after %v, want %v", wait, 3*g.LoadBackoff)
	}
	expect(t, "last failure", out, "ReturnPermit", "finish not-run load-failed")
	expect(t, "new try", g.Step(now, newRun("r2", a2)), "refuse load-failed")
	late := newRun("r3", a2)
	late.Deadline = late.Deadline.Add(time.Minute)
	expect(t, "new try after the pause", g.Step(now.Add(g.FailingDuration), late), "Accept", "Load")
}

// Guards against an engine with more adapters than slots: a load that is reported as failed can take effect later, so its
// slot must not be reused before an unload is confirmed.
func TestUncertainLoadIsUnloaded(t *testing.T) {
	g := newGate(t, func(c *Config) { c.Slots = 2 })
	g.Step(startTime, Permits{Granted: 10, Until: startTime.Add(time.Minute)})
	load := g.Step(startTime, newRun("r1", a2))[1].(Load)
	out := g.Step(startTime, LoadEnded{Number: load.Number, Failed: true})
	expect(t, "after the failure", out, "ReturnPermit", "Unload")
	out = g.Step(startTime, UnloadEnded{Number: out[1].(Unload).Number, Failed: true})
	expect(t, "failed unload", out)
	out = g.Step(startTime.Add(time.Second), Tick{})
	expect(t, "second unload", out, "Unload")
	g.Step(startTime.Add(time.Second), UnloadEnded{Number: out[len(out)-1].(Unload).Number})
	expect(t, "in quarantine", g.Step(startTime.Add(2*time.Second), Tick{}))
	expect(t, "after quarantine", g.Step(startTime.Add(g.QuarantineDuration), Tick{}), "Load")
}

// Guards against an agent that loads adapters or starts tries while requests of its predecessor still run at an engine that
// ignores fencing numbers (G2).
func TestTakeoverOfRunningRequests(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		c := DefaultConfig()
		c.Endpoint, c.Incarnation, c.Slots, c.ChecksFencing = "e1", 5, 1, fencing
		g := New(c)
		survey := g.Step(startTime, Tick{})[0].(Survey)
		g.Step(startTime, Permits{Granted: 1, Until: startTime.Add(time.Minute)})
		expect(t, "before the survey", g.Step(startTime, newRun("r1", a2)), "Accept")
		surveyed := Surveyed{
			Number: survey.Number, StartID: "s1", Adapters: []ListedAdapter{{Adapter: a1, Digest: "d"}}, Running: []Request{{ID: "old/1", Adapter: a1}},
		}
		want := []string(nil)
		if !fencing {
			want = []string{"CancelRequest"}
		}
		expect(t, "first survey", g.Step(startTime, surveyed), want...)
		otherTry, afterSurvey := []string{"Accept"}, []string{"Start"}
		if fencing {
			otherTry, afterSurvey = []string{"Accept", "Start"}, nil
		}
		expect(t, "another try", g.Step(startTime, newRun("r2", a1)), otherTry...)
		now := startTime.Add(time.Second)
		next := g.Step(now, Tick{})
		expect(t, "while the previous agent's request runs", next)
		surveyed.Number, surveyed.Running = next[0].(Survey).Number, nil
		expect(t, "once that request has finished", g.Step(now, surveyed), afterSurvey...)
		expect(t, "end", g.Step(now, Ended{ID: newRun("r2", a1).ID, Outcome: outcome.Completed}), "finish completed", "Unload")
	}
}

// Guards against tries that stay open after a restart of the engine, and against late responses of the previous process that
// count as a second restart.
func TestEngineRestart(t *testing.T) {
	g := newGate(t, nil)
	g.Step(startTime, newRun("r1", a1))
	expect(t, "restart", g.Step(startTime, StartIDObserved{StartID: "s2"}), "Restarted", "Cancel", "finish unknown")
	expect(t, "late end", g.Step(startTime, Ended{ID: newRun("r1", a1).ID, Outcome: outcome.Completed}))
	expect(t, "late response", g.Step(startTime, StartIDObserved{StartID: "s1"}))
	expect(t, "settle", g.Step(startTime, Settle{ID: newRun("r1", a1).ID}), "settled 3")
	expect(t, "next try", g.Step(startTime, newRun("r2", a1)), "Accept")
}

// Guards against tries that wait at an engine that does not respond, and against permits for loads that have no free slot.
func TestUnresponsiveEngine(t *testing.T) {
	g := newGate(t, nil)
	expect(t, "try for the resident adapter", g.Step(startTime, newRun("r1", a1)), "Accept", "Start")
	expect(t, "try for an adapter without a free slot", g.Step(startTime, newRun("r2", a2)), "Accept")
	now := startTime
	for i, want := range [][]string{nil, {"finish not-run engine-down"}} {
		now = now.Add(time.Second)
		survey := g.Step(now, Tick{})[0].(Survey)
		expect(t, fmt.Sprint("survey ", i), g.Step(now, Surveyed{Number: survey.Number, Failed: true}), want...)
	}
	expect(t, "new try", g.Step(now, newRun("r3", a1)), "refuse engine-down")
	expect(t, "running try", g.Step(now, Ended{ID: newRun("r1", a1).ID, Outcome: outcome.Completed}), "finish completed")
}

// Guards against a drain that interrupts a running try, or that leaves tries waiting after the grace period (G6, G7).
func TestDrain(t *testing.T) {
	g := newGate(t, func(c *Config) { c.BatchSize = 1 })
	for i := range 3 {
		g.Step(startTime, newRun(fmt.Sprint("r", i), a1))
	}
	expect(t, "drain", g.Step(startTime, Drain{}))
	now := startTime.Add(g.DrainGrace / 2)
	end := Ended{ID: newRun("r0", a1).ID, Outcome: outcome.Completed}
	expect(t, "within the grace period", g.Step(now, end), "finish completed", "Start")
	now = startTime.Add(g.DrainGrace)
	expect(t, "after the grace period", g.Step(now, Tick{}), "finish not-run leaving")
	end.ID = newRun("r1", a1).ID
	expect(t, "last end", g.Step(now.Add(time.Hour), end), "finish completed", "Drained")
}

// Guards against assertions that miss a violated guarantee, or that report it and send the command all the same.
func TestAssertions(t *testing.T) {
	tests := []struct {
		name    string
		corrupt func(g *Gate, waitingTry *try)
		want    []string
	}{
		{"weights other than declared", func(g *Gate, _ *try) { g.adapters[a1].digest = "x" }, []string{"violation G1", "finish not-run engine-down"}},
		{"adapter not resident", func(g *Gate, _ *try) { g.slots.Drop(a1) }, []string{"violation G1", "finish not-run engine-down"}},
		{"reported as not run", func(_ *Gate, waitingTry *try) { waitingTry.state = tombstoned }, []string{"violation G4"}},
		{"started already", func(_ *Gate, waitingTry *try) { waitingTry.state = running }, []string{"violation G5"}},
		{"previous incarnation", func(g *Gate, _ *try) { g.Incarnation = 9 }, []string{"violation G5", "finish not-run engine-down"}},
		{"key used by a started try", func(g *Gate, waitingTry *try) { g.keys[callerKey{"c", "k"}] = waitingTry.ID }, []string{"violation G5", "finish not-run engine-down"}},
		{"grace period of a drain has passed", func(g *Gate, _ *try) { g.leaving = true }, []string{"violation G6", "finish not-run engine-down"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := newGate(t, func(c *Config) { c.BatchSize = 0 })
			r := newRun("r1", a1)
			r.Key = "k"
			g.Step(startTime, r)
			waitingTry := g.tries[r.ID]
			tt.corrupt(g, waitingTry)
			g.commands = nil
			g.start(waitingTry)
			expect(t, "start", g.commands, tt.want...)
		})
	}
	g := newGate(t, nil)
	g.Step(startTime, newRun("r1", a1))
	g.commands = nil
	g.sendUnload(a1, g.adapters[a1])
	expect(t, "unload in use", g.commands, "violation G2")
	g.slots.Drop(a1)
	out := g.Step(startTime, Tick{})
	expect(t, "running try without its adapter", out, "violation G2")
	if !out[len(out)-1].(Violation).Fatal {
		t.Error("a running try has lost its adapter and the violation is not fatal")
	}
}
