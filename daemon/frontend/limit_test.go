package frontend

import (
	"testing"
	"time"

	"github.com/coder/quartz"

	"shallotring.dev/platform/message"
	"shallotring.dev/protocol/control"
	"shallotring.dev/state/call"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/inventory"
	"shallotring.dev/state/sendlimit"
)

// TestLimitFollowsTheNewestStatement guards against a limit that ends with a response that is older than it, that outlives its end, or that
// an agent of an earlier release or a bad value clears.
func TestLimitFollowsTheNewestStatement(t *testing.T) {
	named := func(perSecond float64) sendlimit.Limit { return sendlimit.Limit{Named: true, PerSecond: perSecond} }
	type step struct {
		// wait passes before the step; the response belongs to a request that was sent at an age before it.
		wait, age time.Duration
		info      call.ResponseInfo
		state     *control.State
	}
	response := func(l sendlimit.Limit) call.ResponseInfo { return call.ResponseInfo{Limit: l} }
	state := func(shares bool, l sendlimit.Limit) *control.State {
		return &control.State{SharesLimits: shares, Limit: l}
	}
	for _, c := range []struct {
		name  string
		steps []step
		want  sendlimit.Limit
	}{
		{"named", []step{{info: response(named(2))}}, named(2)},
		{"changed upward", []step{{info: response(named(2))}, {wait: time.Second, info: response(named(9))}}, named(9)},
		{"ended", []step{{info: response(named(2))}, {wait: time.Second, age: time.Millisecond}}, sendlimit.Limit{}},
		{"older response without a limit", []step{{info: response(named(2))}, {wait: time.Second, age: 2 * time.Second}}, named(2)},
		{"bad value", []step{{info: response(named(2))}, {wait: time.Second, info: call.ResponseInfo{InvalidLimit: true}}}, named(2)},
		{"bad value beside a good one", []step{{info: call.ResponseInfo{InvalidLimit: true, Limit: named(3)}}}, named(3)},
		{"bad value only", []step{{info: call.ResponseInfo{InvalidLimit: true}}}, sendlimit.Limit{}},
		{"state of an agent of an earlier release", []step{{info: response(named(2))}, {wait: time.Minute, state: state(false, sendlimit.Limit{})}}, named(2)},
		{"state of an agent that has not learned it", []step{{info: response(named(2))}, {wait: observationTime / 2, state: state(true, sendlimit.Limit{})}}, named(2)},
		{"state of an agent that knows the end", []step{{info: response(named(2))}, {wait: observationTime, state: state(true, sendlimit.Limit{})}}, sendlimit.Limit{}},
		{"state of an agent that knows it", []step{{state: state(true, named(4))}}, named(4)},
	} {
		clock := quartz.NewMock(t)
		f := New(message.Headers{}, "edge-1", "a", WithClock(clock))
		f.Configure(testRoutes)
		f.UpdateEndpoint(inventory.Endpoint{ID: "i-0", Service: "s", Address: "127.0.0.1:1", Zone: "a", BatchSize: 6})
		e, x := f.endpoints["i-0"], &request{}
		for _, s := range c.steps {
			clock.Advance(s.wait)
			if s.state != nil {
				e.adoptLimit(clock.Now(), *s.state)
				f.updatePlacement(e)
				continue
			}
			f.recordLimit(x, e, s.info, clock.Now().Add(-s.age))
		}
		if e.observed != c.want || e.limited != c.want.Named {
			t.Errorf("%s: limit %+v, limited %t, want %+v", c.name, e.observed, e.limited, c.want)
		}
	}
}

// TestShareOfALimit guards against shares that exceed the limit in sum, or that are used in full while an agent may hand out the others.
func TestShareOfALimit(t *testing.T) {
	const entries, perSecond, seconds = 4, 2.0, 40
	for agentLost, want := range map[bool]float64{false: perSecond * seconds, true: perSecond * seconds * lostAgentShare} {
		now, sends := time.Unix(0, 0), 0
		var list [entries]endpoint
		for range seconds * 100 {
			now = now.Add(10 * time.Millisecond)
			for i := range list {
				if list[i].takeShare(now, sendlimit.Limit{Named: true, PerSecond: perSecond}, entries, agentLost, float64(i)/entries, 0).Granted {
					sends++
				}
			}
		}
		if float64(sends) > want+entries || float64(sends) < 0.9*want {
			t.Errorf("agent lost %t: %d sends in %d s, want %.0f", agentLost, sends, seconds, want)
		}
	}
}

// TestLimitedEngineOfAnotherModelGetsNothing guards against a request that uses up the limit of an engine of its service that holds another base
// model.
func TestLimitedEngineOfAnotherModelGetsNothing(t *testing.T) {
	for model, want := range map[ident.BaseModel]ident.Endpoint{"m1": "i-0", "m2": ""} {
		clock := quartz.NewMock(t)
		f := New(message.Headers{}, "edge-1", "a", WithClock(clock))
		f.Configure(testRoutes)
		f.UpdateEndpoint(inventory.Endpoint{ID: "i-0", Service: "llm", Address: "127.0.0.1:1", Zone: "a", BatchSize: 6, Models: []ident.ModelVersion{{Model: "m1", Version: "1"}}})
		e, x := f.endpoints["i-0"], &request{service: "llm", deadline: clock.Now().Add(4 * time.Second)}
		x.call.Model = model
		f.recordLimit(x, e, call.ResponseInfo{Limit: sendlimit.Limit{Named: true, PerSecond: 2}}, clock.Now())
		e.freeAt = clock.Now().Add(time.Second)
		f.updatePlacement(e)
		name := ident.Endpoint("")
		if found, _ := f.soonestLimited(clock.Now(), x); found != nil {
			name = found.name
		}
		if name != want {
			t.Errorf("a request for %s goes to %q, want %q", model, name, want)
		}
	}
}

// TestEntryCountOutlivesAgents guards against entries that each use the whole of a limit, or of the retry budget, because the agents that
// tell them how many they are do not respond, or have restarted and been reached by a part of the entries.
func TestEntryCountOutlivesAgents(t *testing.T) {
	type step struct {
		wait time.Duration
		// entries is the number that the agent reports after the wait, 0 if it reports nothing.
		entries int
	}
	for _, c := range []struct {
		name  string
		steps []step
		want  int
	}{
		{"never reported", nil, 1},
		{"reported", []step{{entries: 4}}, 4},
		{"agent lost", []step{{entries: 4}, {wait: 2 * stateExpiry}}, 4},
		{"agent lost for long", []step{{entries: 4}, {wait: time.Hour}}, 4},
		{"more entries", []step{{entries: 4}, {wait: time.Second, entries: 6}}, 6},
		{"agent restarted", []step{{entries: 4}, {wait: time.Second, entries: 1}, {wait: time.Second, entries: 2}}, 4},
		{"fewer entries", []step{{entries: 4}, {wait: 2 * entryCountMemory, entries: 2}}, 2},
	} {
		clock := quartz.NewMock(t)
		f := New(message.Headers{}, "edge-1", "a", WithClock(clock))
		f.Configure(testRoutes)
		f.UpdateEndpoint(inventory.Endpoint{ID: "i-0", Service: "llm", Address: "127.0.0.1:1", Zone: "a", BatchSize: 6, StartMilli: 1})
		e := f.endpoints["i-0"]
		e.link = newLink(f, "agent")
		for _, s := range c.steps {
			clock.Advance(s.wait)
			if s.entries > 0 {
				e.link.state, e.link.stateAt = &control.State{Endpoint: "i-0", Born: 1, Up: true, Entries: s.entries, Holdings: &control.Holdings{}}, clock.Now()
			}
			f.refreshEndpoints()
		}
		if got := f.entryCount(clock.Now()); got != c.want {
			t.Errorf("%s: %d entries, want %d", c.name, got, c.want)
		}
	}
}
