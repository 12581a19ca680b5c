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
)

// TestStateOfOneIncarnationOnly guards against announcements, holdings and pauses of one incarnation of an engine that count for another one,
// when the engine restarts under its id and discovery or the agent notices it first. Same class as incident STALE.
func TestStateOfOneIncarnationOnly(t *testing.T) {
	adapter := ident.AdapterVersion{Adapter: "m/a1", Version: "1"}
	models := []ident.ModelVersion{{Model: "m", Version: "1"}}
	listed := func(startMilli int64) inventory.Endpoint {
		return inventory.Endpoint{ID: "i-0", Service: "llm", Address: "192.0.2.1:80", Zone: "a", BatchSize: 64, StartMilli: startMilli, Models: models, Resident: []ident.AdapterVersion{adapter}}
	}
	leaving := func(e inventory.Endpoint) inventory.Endpoint {
		e.Leaving = true
		return e
	}
	reported := func(startMilli int64, resident ...ident.AdapterVersion) control.State {
		return control.State{Endpoint: "i-0", Born: startMilli, Up: true, Holdings: control.NewHoldings(models, resident, nil)}
	}
	for _, c := range []struct {
		name string
		// change happens after discovery and the agent have named the first incarnation, which holds the adapter.
		change func(f *Frontend, l *agentLink)
		// wantOpen means that new requests may be sent, wantHeld that the adapter is expected there.
		wantOpen, wantHeld bool
	}{
		{name: "no restart", change: func(*Frontend, *agentLink) {}, wantOpen: true, wantHeld: true},
		{name: "agent notices the restart", change: func(f *Frontend, l *agentLink) { f.handleState(l, reported(2)) }, wantOpen: true},
		{name: "discovery repeats the previous incarnation", change: func(f *Frontend, l *agentLink) {
			f.handleState(l, reported(2))
			f.UpdateEndpoint(listed(1))
		}, wantOpen: true},
		{name: "discovery says that the previous incarnation is leaving", change: func(f *Frontend, l *agentLink) {
			f.handleState(l, reported(2, adapter))
			f.UpdateEndpoint(leaving(listed(1)))
		}, wantOpen: true, wantHeld: true},
		{name: "previous incarnation was leaving", change: func(f *Frontend, l *agentLink) {
			s := reported(1, adapter)
			s.Leaving = true
			f.handleState(l, s)
			f.handleState(l, reported(2, adapter))
		}, wantOpen: true, wantHeld: true},
		{name: "previous incarnation had asked for time", change: func(f *Frontend, l *agentLink) {
			f.recordAnnouncement(f.endpoints["i-0"], call.ResponseInfo{RetryAfter: time.Minute})
			f.handleState(l, reported(2, adapter))
		}, wantOpen: true, wantHeld: true},
		{name: "discovery notices the restart", change: func(f *Frontend, _ *agentLink) {
			d := listed(2)
			d.Resident = nil
			f.UpdateEndpoint(d)
		}, wantOpen: true},
		{name: "agent reports the previous incarnation late", change: func(f *Frontend, l *agentLink) {
			f.UpdateEndpoint(listed(2))
			s := reported(1, adapter)
			s.Leaving = true
			f.handleState(l, s)
			f.handleState(l, reported(2))
		}, wantOpen: true},
		{name: "next incarnation is leaving according to discovery", change: func(f *Frontend, l *agentLink) {
			f.UpdateEndpoint(leaving(listed(2)))
			f.handleState(l, reported(2))
		}},
		{name: "next incarnation is leaving, noticed by discovery first", change: func(f *Frontend, l *agentLink) {
			f.UpdateEndpoint(leaving(listed(2)))
			f.handleState(l, reported(1, adapter))
			f.handleState(l, reported(2))
		}},
		{name: "next incarnation is leaving according to the agent", change: func(f *Frontend, l *agentLink) {
			s := reported(2, adapter)
			s.Leaving = true
			f.handleState(l, s)
			f.UpdateEndpoint(listed(2))
		}, wantHeld: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := New(message.Headers{}, "edge-1", "a")
			f.Configure(testRoutes)
			f.UpdateEndpoint(listed(1))
			l := newLink(f, "192.0.2.1:81")
			f.endpoints["i-0"].link = l
			f.handleState(l, reported(1, adapter))
			c.change(f, l)
			now := f.clock.Now()
			e := f.endpoints["i-0"]
			if e == nil {
				t.Fatal("the endpoint is gone")
			}
			if open := !e.closed(now); open != c.wantOpen {
				t.Errorf("new requests may be sent: %t, want %t", open, c.wantOpen)
			}
			if held := e.holds(now, adapter); held != c.wantHeld {
				t.Errorf("the adapter is held: %t, want %t", held, c.wantHeld)
			}
		})
	}
}

// TestStaleStateExpires guards against an entry that takes an old report of an engine for current because its agent still sends it.
func TestStaleStateExpires(t *testing.T) {
	clock := quartz.NewMock(t)
	f := New(message.Headers{}, "edge-1", "a", WithClock(clock))
	f.Configure(testRoutes)
	f.UpdateEndpoint(inventory.Endpoint{ID: "i-0", Service: "llm", Address: "192.0.2.1:80", Zone: "a", BatchSize: 64, StartMilli: 1})
	l := newLink(f, "192.0.2.1:81")
	f.endpoints["i-0"].link = l
	state := control.State{Endpoint: "i-0", Born: 1, Up: true, Holdings: &control.Holdings{}}
	f.handleState(l, state)
	state.Stale = true
	for passed := time.Duration(0); passed <= 2*stateExpiry; passed += stateExpiry / 4 {
		if current := f.endpoints["i-0"].agentState(clock.Now()) != nil; current != (passed <= stateExpiry) {
			t.Errorf("%v after the last report the state is current: %t", passed, current)
		}
		clock.Advance(stateExpiry / 4)
		f.handleState(l, state)
	}
}
