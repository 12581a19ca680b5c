package gate

import (
	"testing"
	"time"

	"shallotring.dev/state/ident"
	"shallotring.dev/state/outcome"
)

// Guards against the eviction of an adapter that a request still uses after its connection to the agent has failed (G2), and
// against a request that arrives late and runs on weights that have been loaded under the same name since (G1).
func TestUnresolvedTryPinsItsAdapter(t *testing.T) {
	tests := []struct {
		name    string
		reached bool
		// listedUntil is the time until which the engine lists the request, unloadAt the time of the unload.
		listedUntil, unloadAt time.Duration
	}{
		{"reached the engine and still runs", true, 3 * time.Second, 3 * time.Second},
		{"reached the engine and finished before the first list", true, 0, time.Second},
		{"may still be in flight to the engine, never listed", false, 0, 5 * time.Second},
		{"listed for two seconds", false, 2 * time.Second, 2 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := newGate(t, nil)
			r := newRun("r1", a1)
			g.Step(startTime, r)
			expect(t, "end", g.Step(startTime, Ended{ID: r.ID, Outcome: outcome.Unknown, Reached: tt.reached}), "finish unknown")
			g.Step(startTime, Permits{Granted: 1, Until: startTime.Add(time.Minute)})
			g.Step(startTime, newRun("r2", a2))
			at, ok := firstUnload(g, func(d time.Duration) (list []Request) {
				if d < tt.listedUntil {
					list = []Request{{ID: "r1/1", Adapter: a1}}
				}
				return list
			})
			if !ok || at != tt.unloadAt {
				t.Errorf("unload after %s (sent: %t), want it after %s", at, ok, tt.unloadAt)
			}
		})
	}
}

// firstUnload responds to surveys each second and returns the time of the first unload; ok is set if it evicts a1.
func firstUnload(g *Gate, running func(time.Duration) []Request) (at time.Duration, ok bool) {
	for at = 0; at <= 10*time.Second; at += time.Second {
		now := startTime.Add(at)
		commands := g.Step(now, Tick{})
		for i := 0; i < len(commands); i++ {
			switch x := commands[i].(type) {
			case Unload:
				return at, x.Adapter == a1
			case Survey:
				commands = append(commands, g.Step(now, Surveyed{
					Number: x.Number, StartID: "s1", Adapters: []ListedAdapter{{Adapter: a1, Digest: "d"}}, Running: running(at),
				})...)
			}
		}
	}
	return at, false
}

// Guards against slots that stay pinned for ever by tries of an engine process that has exited.
func TestEngineRestartUnpinsUnresolvedTries(t *testing.T) {
	g := newGate(t, nil)
	r := newRun("r1", a1)
	g.Step(startTime, r)
	g.Step(startTime, Ended{ID: r.ID, Outcome: outcome.Unknown})
	g.Step(startTime, StartIDObserved{StartID: ident.StartID("s2")})
	if len(g.unresolvedTries) != 0 || g.slots.InUse(a1) != 0 {
		t.Errorf("after a restart %d tries are unresolved and %d pins remain", len(g.unresolvedTries), g.slots.InUse(a1))
	}
}

// Guards against a violation that is reported while the end of a try is still in flight, and against one that is not reported
// although a running request has lost its adapter (G2).
func TestAdapterEvictedBySuccessor(t *testing.T) {
	tests := []struct {
		name  string
		ended bool
		// surveyDuration is the time from the start of the survey to its result.
		surveyDuration time.Duration
		running        []Request
		want           []string
	}{
		{"the end is in flight", false, 0, nil, nil},
		{"the try is unresolved", true, 0, nil, nil},
		{"the engine runs it", false, time.Second, []Request{{ID: "r1/1", Adapter: a1}}, []string{"violation G2"}},
		{"the engine runs it after its end", true, 0, []Request{{ID: "r1/1", Adapter: a1}}, []string{"violation G2"}},
		{"the agent was paused between the lists", false, 20 * time.Second, []Request{{ID: "r1/1", Adapter: a1}}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := newGate(t, nil)
			r := newRun("r1", a1)
			g.Step(startTime, r)
			if tt.ended {
				g.Step(startTime, Ended{ID: r.ID, Outcome: outcome.Unknown})
			}
			now := startTime.Add(time.Second)
			survey := g.Step(now, Tick{})[0].(Survey)
			expect(t, "survey", g.Step(now.Add(tt.surveyDuration), Surveyed{Number: survey.Number, StartID: "s1", Running: tt.running}), tt.want...)
			if tt.ended && tt.running == nil && g.slots.Free() != 1 {
				t.Error("the slot of an adapter that is no longer loaded is not free")
			}
		})
	}
}

// Guards against a list of running requests that misses one, because a previous agent could still start it after the list was
// read (G2): the engine must see the new fencing number before the list is read, and again after its restart.
func TestFirstSurveySendsFencingNumber(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		g := newGate(t, func(c *Config) { c.ChecksFencing = fencing })
		surveys := 0
		for _, e := range []Event{Claim{Status: ClaimHeld, Incarnation: 6}, StartIDObserved{StartID: "s2"}} {
			for _, c := range g.Step(startTime, e) {
				if x, ok := c.(Survey); ok && x.Fence != fencing {
					t.Errorf("%T, fencing %t: the survey sends the fencing number: %t", e, fencing, x.Fence)
				} else if ok {
					surveys++
					g.Step(startTime, Surveyed{Number: x.Number, StartID: "s1"})
				}
			}
		}
		if surveys != 2 {
			t.Fatalf("%d surveys, want one after the claim and one after the restart", surveys)
		}
		survey := g.Step(startTime.Add(time.Second), Tick{})[0].(Survey)
		if survey.Fence && g.synced {
			t.Error("a later survey sends the fencing number again")
		}
	}
}

// Guards against a start on an adapter that a delayed load has made resident while a delayed unload of it may still arrive
// (G2).
func TestDelayedLoadInQuarantineIsUnloaded(t *testing.T) {
	g := newGate(t, func(c *Config) { c.Slots = 2 })
	g.Step(startTime, Permits{Granted: 1, Until: startTime.Add(time.Minute)})
	load := g.Step(startTime, newRun("r1", a2))[1].(Load)
	unload := g.Step(startTime, LoadEnded{Number: load.Number, Failed: true})[1].(Unload)
	g.Step(startTime, UnloadEnded{Number: unload.Number, Failed: true})
	now := startTime.Add(300 * time.Millisecond)
	out := g.Step(now, Tick{})
	expect(t, "second unload", out, "Unload")
	g.Step(now, UnloadEnded{Number: out[0].(Unload).Number})
	now = startTime.Add(time.Second)
	survey := g.Step(now, Tick{})[0].(Survey)
	listed := []ListedAdapter{{Adapter: a1, Digest: "d"}, {Adapter: a2, Digest: "d"}}
	expect(t, "the delayed load", g.Step(now, Surveyed{Number: survey.Number, StartID: "s1", Adapters: listed}), "Unload")
}
