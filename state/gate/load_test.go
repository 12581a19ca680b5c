package gate

import (
	"fmt"
	"testing"
	"time"

	"shallotring.dev/state/admission"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/outcome"
)

var a3 = ident.AdapterVersion{Adapter: "a3", Version: "v1"}

func grantPermits(n int) Permits { return Permits{Granted: n, Until: startTime.Add(time.Minute)} }

// firstCommand returns the first command of a type, or its zero value.
func firstCommand[C Command](commands []Command) (c C) {
	for _, x := range commands {
		if y, ok := x.(C); ok {
			return y
		}
	}
	return c
}

// loadAdapter makes an adapter resident in a gate with free slots.
func loadAdapter(t *testing.T, g *Gate, name string, av ident.AdapterVersion) {
	t.Helper()
	g.Step(startTime, grantPermits(1))
	x := firstCommand[Load](g.Step(startTime, newRun(name, av)))
	g.Step(startTime, LoadEnded{Number: x.Number, Digest: "d"})
	g.Step(startTime, Ended{ID: newRun(name, av).ID, Outcome: outcome.Completed})
	if !g.resident(newRun(name, av)) {
		t.Fatalf("%s is not resident", av)
	}
}

// Guards against loads in order of arrival, which can leave the adapter with the most stalled work for last, and against a
// request for a permit that does not state how much work waits.
func TestLoadOrder(t *testing.T) {
	g := newGate(t, func(c *Config) { c.Slots = 3 })
	request := firstCommand[RequestPermits](g.Step(startTime, newRun("r1", a2)))
	if request.Wanted != 1 || request.Stalled != time.Second {
		t.Errorf("first request for a permit: %+v", request)
	}
	g.Step(startTime, newRun("r2", a3))
	g.Step(startTime, newRun("r3", a3))
	out := g.Step(startTime, grantPermits(1))
	if x := firstCommand[Load](out); x.Adapter != a3 {
		t.Errorf("loaded %v first", x.Adapter)
	}
	if request = firstCommand[RequestPermits](out); request.Stalled != time.Second {
		t.Errorf("request for the other load: %+v", request)
	}
}

// Guards against an eviction of an adapter that a waiting try is about to use.
func TestAwaitedAdapterIsNotEvicted(t *testing.T) {
	tests := []struct {
		name       string
		waitingFor []ident.AdapterVersion
		victim     ident.AdapterVersion
	}{
		{"no try waits", nil, a1},
		{"a try waits for the cheapest victim", []ident.AdapterVersion{a1}, a2},
		{"tries wait for all", []ident.AdapterVersion{a1, a2}, ident.AdapterVersion{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := newGate(t, func(c *Config) { c.Slots = 2 })
			loadAdapter(t, g, "r0", a2)
			g.BatchSize = 0                       // tries wait although their adapter is resident
			now := startTime.Add(3 * time.Second) // after the grace period in which an unused adapter is not evicted
			for i, av := range tt.waitingFor {
				g.Step(now, newRun(fmt.Sprint("w", i), av))
			}
			out := g.Step(now, newRun("r1", a3))
			if requested := firstCommand[RequestPermits](out).Wanted > 0; requested != (tt.victim != ident.AdapterVersion{}) {
				t.Errorf("requested a permit: %v", requested)
			}
			out = g.Step(now, Permits{Granted: 1, Until: now.Add(time.Second)})
			if x := firstCommand[Unload](out); x.Adapter != tt.victim {
				t.Errorf("evicted %v, want %v", x.Adapter, tt.victim)
			}
		})
	}
}

// Guards against a try that starts on the reserved adapter while a permit is requested, so that the granted permit has no slot
// for its load, and against a try that continues to wait although the permit was refused.
func TestVictimIsReserved(t *testing.T) {
	tests := []struct {
		name    string
		granted int
		want    []string
	}{
		{"permit granted", 1, []string{"Unload"}},
		{"permit refused", 0, []string{"Start"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := newGate(t, nil)
			now := startTime.Add(3 * time.Second)
			expect(t, "load", g.Step(now, newRun("r1", a2)), "Accept", "RequestPermits")
			expect(t, "try for the victim", g.Step(now, newRun("r2", a1)), "Accept")
			expect(t, "permit response", g.Step(now, Permits{Granted: tt.granted, Until: now.Add(time.Second)}), tt.want...)
		})
	}
	g := newGate(t, func(c *Config) { c.Slots = 2 })
	loadAdapter(t, g, "r0", a2)
	now := startTime.Add(3 * time.Second)
	g.Step(now, newRun("r1", a3))
	reserved := g.reservedVictim
	expect(t, "try for one of two victims", g.Step(now, newRun("r2", reserved)), "Accept", "Start")
	out := g.Step(now, Permits{Granted: 1, Until: now.Add(time.Second)})
	if x := firstCommand[Unload](out); x.Adapter == reserved || x.Adapter.IsZero() {
		t.Errorf("evicted %v, reserved was %v", x.Adapter, reserved)
	}
}

// Guards against a slot that stays reserved for a load that no try waits for any more.
func TestReservationEndsWithItsTry(t *testing.T) {
	g := newGate(t, nil)
	now := startTime.Add(3 * time.Second)
	g.Step(now, newRun("r1", a2))
	g.Step(now, newRun("r2", a1))
	expect(t, "sender of the load's try disconnected", g.Step(now, SenderGone{ID: newRun("r1", a2).ID}), "finish not-run tombstoned", "Start")
}

// Guards against a try that is accepted although its adapter cannot be loaded before its deadline, and against one that counts
// as waiting for a load after the load has finished.
func TestLoadWait(t *testing.T) {
	tests := []struct {
		name   string
		before []Event
		within time.Duration
		want   string
	}{
		{"resident", []Event{Permits{Wait: time.Minute}}, time.Millisecond, "Accept"},
		{"no time for a load", nil, 200 * time.Millisecond, "refuse deadline"},
		{"time for a load", nil, 300 * time.Millisecond, "Accept"},
		{"no time for the permit", []Event{Permits{Wait: 2 * time.Second}}, 2 * time.Second, "refuse deadline"},
		{"load in flight", []Event{grantPermits(1), newRun("r0", a2), Permits{Wait: time.Minute}}, 300 * time.Millisecond, "Accept"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := newGate(t, func(c *Config) { c.Slots = 2 })
			for _, e := range tt.before {
				g.Step(startTime, e)
			}
			r := newRun("r1", a2)
			if tt.name == "resident" {
				r = newRun("r1", a1)
			}
			r.Deadline = startTime.Add(tt.within)
			expect(t, "try", g.Step(startTime, r)[:1], tt.want)
		})
	}
	g := newGate(t, func(c *Config) { c.Slots, c.BatchSize = 2, 0 })
	g.Step(startTime, grantPermits(1))
	x := firstCommand[Load](g.Step(startTime, newRun("r1", a2)))
	loadWait := func() (d time.Duration) {
		g.queue.Each(func(it admission.Item) { d = it.LoadWait })
		return d
	}
	if loadWait() != g.LoadTime {
		t.Errorf("wait of a new try: %v", loadWait())
	}
	g.Step(startTime, LoadEnded{Number: x.Number, Digest: "d"})
	if loadWait() != 0 {
		t.Errorf("wait after the load: %v", loadWait())
	}
}

// Guards against demand that is counted at each step instead of once for each try, so that one waiting try looks like many.
func TestDemandIsCountedOnce(t *testing.T) {
	oneStep := newGate(t, nil)
	oneStep.Step(startTime, newRun("r1", a2))
	manySteps := newGate(t, nil)
	manySteps.Step(startTime, newRun("r1", a2))
	for range 50 {
		manySteps.Step(startTime, Tick{})
	}
	if x, y := oneStep.slots.Rate(startTime, a2), manySteps.slots.Rate(startTime, a2); x != y || x == 0 {
		t.Errorf("demand %v after one step, %v after many", x, y)
	}
}

// Guards against a report that omits an adapter whose load waits for a permit, which makes entries send requests for it to
// other endpoints, and against a report that omits slots in use.
func TestReportForPlacement(t *testing.T) {
	g := newGate(t, func(c *Config) { c.Slots, c.BatchSize = 3, 1 })
	g.Step(startTime, newRun("r1", a1))
	g.Step(startTime, newRun("r2", a2))
	want := []AdapterReport{{Adapter: a1, Running: 1}, {Adapter: a2, Loading: true}}
	if r := g.Report(); fmt.Sprint(r.Adapters) != fmt.Sprint(want) || r.Pinned != 1 {
		t.Errorf("waiting for a permit: %+v", r)
	}
	g.Step(startTime, grantPermits(1))
	if r := g.Report(); fmt.Sprint(r.Adapters) != fmt.Sprint(want) || r.Pinned != 2 {
		t.Errorf("load in flight: %+v", r)
	}
}

// Guards against an engine that is ordered to load more than it holds after its number of slots was lowered, as by a larger adapter, and
// against a load that never starts because only one adapter is evicted for it.
func TestLoadsFollowLoweredSlots(t *testing.T) {
	g := newGate(t, func(c *Config) { c.Slots = 2 })
	loadAdapter(t, g, "r0", a2)
	now := startTime.Add(3 * time.Second) // after the grace period in which an unused adapter is not evicted
	g.Step(now, Configure{Slots: 1})
	g.Step(now, newRun("r1", a3))
	unloads := g.Step(now, Permits{Granted: 1, Until: now.Add(time.Minute)})
	expect(t, "permit response", unloads, "Unload", "Unload")
	for i, c := range unloads {
		x, _ := c.(Unload)
		out := g.Step(now, UnloadEnded{Number: x.Number})
		if started := firstCommand[Load](out).Adapter == a3; started != (i == 1) {
			t.Errorf("after unload %d: load started: %v", i+1, started)
		}
	}
}

// Guards against a slot that is given to another adapter while an unanswered load may still take it, so that the engine gets more than it
// holds, against a load that took effect and is of no use, and against tries that wait until their deadline for one that did not.
func TestUnansweredLoadKeepsItsSlot(t *testing.T) {
	for _, listed := range []bool{false, true} {
		g := newGate(t, func(c *Config) { c.Slots = 2 })
		g.Step(startTime, newRun("r0", a1)) // keeps the other slot
		g.Step(startTime, grantPermits(1))
		x := firstCommand[Load](g.Step(startTime, newRun("r1", a2)))
		g.Step(startTime, LoadEnded{Number: x.Number, Failed: true, Unanswered: true})
		g.Step(startTime, newRun("r2", a3))
		end, returned := startTime.Add(g.LoadTimeout+g.QuarantineDuration), time.Duration(0)
		for now := startTime.Add(time.Second); now.Before(end); now = now.Add(time.Second) {
			out := append(g.Step(now, Permits{Granted: 1, Until: now.Add(time.Second)}), g.Step(now, Tick{})...)
			if c := firstCommand[Load](out); c.Number != 0 {
				t.Errorf("%v after the load, %s is loaded", now.Sub(startTime), c.Adapter)
			}
			if c := firstCommand[Unload](out); c.Number != 0 {
				t.Errorf("%v after the load, %s is unloaded", now.Sub(startTime), c.Adapter)
			}
			if c := firstCommand[Finish](out); c.ID == newRun("r1", a2).ID && c.Refusal.Reason == outcome.LoadFailed && returned == 0 {
				returned = now.Sub(startTime)
			}
			s := Surveyed{Number: firstCommand[Survey](out).Number, StartID: g.startID, Adapters: []ListedAdapter{{Adapter: a1, Digest: "d"}}, Running: []Request{{ID: "r0/1", Adapter: a1}}}
			if listed {
				s.Adapters = append(s.Adapters, ListedAdapter{Adapter: a2, Digest: "d"})
			}
			out = g.Step(now, s)
			if started := firstCommand[Start](out).ID == newRun("r1", a2).ID; started != listed {
				t.Errorf("listed %t: the try for the adapter started: %t", listed, started)
			}
			if listed {
				break
			}
		}
		if listed {
			continue
		}
		if returned != 2*g.SurveyInterval {
			t.Errorf("the try that waits for the load is returned after %v, want %v", returned, 2*g.SurveyInterval)
		}
		if c := firstCommand[Unload](g.Step(end, Tick{})); c.Adapter != a2 {
			t.Errorf("%s is unloaded at the end, want %s", c.Adapter, a2)
		}
	}
}
