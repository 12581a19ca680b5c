package sidecar

import (
	"context"
	"testing"
	"time"

	"github.com/coder/quartz"
	"github.com/rotisserie/eris"

	"shallotring.dev/protocol/control"
	"shallotring.dev/state/holdings"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/routing"
)

// TestUsesOfPreviousIncarnation guards against adapter slots that stay occupied after an engine has restarted, because an entry's last report
// of the previous incarnation arrived after the restart and none follows it. Same class as incident STALE.
func TestUsesOfPreviousIncarnation(t *testing.T) {
	adapter := ident.AdapterVersion{Adapter: "m/a1", Version: "1"}
	report := holdings.Report{StartMilli: 2, Models: []ident.ModelVersion{{Model: "m", Version: "1"}}, Resident: []ident.AdapterVersion{adapter}}
	for _, c := range []struct {
		name string
		// born lists the start times that the entry's reports name; 0 means that they name none or the same as before.
		born       []int64
		wantPinned int
	}{
		{name: "current incarnation", born: []int64{2}, wantPinned: 1},
		{name: "entry of an earlier release", born: []int64{0}, wantPinned: 1},
		{name: "previous incarnation", born: []int64{1}},
		{name: "previous incarnation, twice", born: []int64{1, 0}},
		{name: "previous incarnation, then the current one", born: []int64{1, 2}, wantPinned: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			clock := quartz.NewMock(t)
			s := New(&fakeEngine{}, nil, WithClock(clock))
			s.endpoint, s.startMilli = "i-1", report.StartMilli
			s.keeper.Observe(clock.Now(), s.endpoint, report)
			clock.Advance(time.Second)
			link := &entryLink{host: "edge-1", states: make(chan control.State, 1)}
			s.handleEvent(event{link: link, connected: true})
			for _, born := range c.born {
				s.handleEvent(event{link: link, report: control.UsageReport{Born: born, Uses: []holdings.Use{{Adapter: adapter, Running: 3}}}})
			}
			if n := s.keeper.Pinned(clock.Now()); n != c.wantPinned {
				t.Errorf("%d adapters in use, want %d", n, c.wantPinned)
			}
		})
	}
}

// scriptedEngine is an engine whose next answers are set by a test.
type scriptedEngine struct {
	fakeEngine
	report      holdings.Report
	reportError error
	id          ident.Endpoint
	idError     error
}

func (e *scriptedEngine) Report(context.Context) (r holdings.Report, err error) {
	return e.report, e.reportError
}

func (e *scriptedEngine) Identity(context.Context) (id ident.Endpoint, err error) {
	return e.id, e.idError
}

// TestStateIsOfTheRunningEngine guards against a state that shows a previous incarnation of the engine, or an old report, as up and current:
// entries would send requests there and name it as the source of cached prompts. Same class as incident STALE.
func TestStateIsOfTheRunningEngine(t *testing.T) {
	adapter := ident.AdapterVersion{Adapter: "m/a1", Version: "1"}
	models := []ident.ModelVersion{{Model: "m", Version: "1"}}
	for _, c := range []struct {
		name string
		// change happens after the first incarnation has been published; then the time passes in steps of the poll interval.
		change         func(e *scriptedEngine)
		passed         time.Duration
		wantUp, wantOn bool
	}{
		{name: "running", change: func(*scriptedEngine) {}, passed: 5 * time.Second, wantUp: true, wantOn: true},
		{name: "restarted, identity not known", change: func(e *scriptedEngine) {
			e.report, e.idError = holdings.Report{StartMilli: 2}, eris.New("status 503")
		}, passed: 300 * time.Millisecond, wantOn: true},
		{name: "does not respond", change: func(e *scriptedEngine) { e.reportError = eris.New("connection refused") }, passed: 5 * time.Second, wantOn: true},
		{name: "asks for time", change: func(e *scriptedEngine) {
			e.reportError = &holdings.BusyError{RetryAfter: 30 * time.Second}
		}, passed: 300 * time.Millisecond, wantUp: true, wantOn: true},
		{name: "asks for a long time", change: func(e *scriptedEngine) {
			e.reportError = &holdings.BusyError{RetryAfter: 30 * time.Second}
		}, passed: 5 * time.Second, wantUp: true},
		{name: "asks for time and restarts", change: func(e *scriptedEngine) {
			e.reportError, e.report, e.id = &holdings.BusyError{RetryAfter: 30 * time.Second}, holdings.Report{StartMilli: 2}, "i-2"
		}, passed: 5 * time.Second, wantUp: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			clock := quartz.NewMock(t)
			e := &scriptedEngine{id: "i-1", report: holdings.Report{StartMilli: 1, Models: models, Resident: []ident.AdapterVersion{adapter}}}
			s := New(e, nil, WithClock(clock))
			s.Configure(routing.Engine{Adapters: 2, Models: []routing.Model{{Name: "m"}}})
			s.pollAndOrder(t.Context())
			c.change(e)
			for range c.passed / pollInterval {
				clock.Advance(pollInterval)
				s.pollAndOrder(t.Context())
			}
			if s.published.Up != c.wantUp || s.published.Stale == c.wantOn {
				t.Errorf("published state %+v after %v, want up: %t, current: %t", s.published, c.passed, c.wantUp, c.wantOn)
			}
		})
	}
}

// TestUsesOfLostConnection guards against adapter slots that stay occupied because an entry connected again before the agent noticed that its
// first connection was lost.
func TestUsesOfLostConnection(t *testing.T) {
	adapter := ident.AdapterVersion{Adapter: "m/a1", Version: "1"}
	use := control.UsageReport{Uses: []holdings.Use{{Adapter: adapter, Running: 1}}}
	for _, c := range []struct {
		name       string
		events     func(first, second *entryLink) []event
		wantPinned int
	}{
		{name: "used on the only connection", events: func(first, _ *entryLink) []event {
			return []event{{link: first, connected: true}, {link: first, report: use}}
		}, wantPinned: 1},
		{name: "connected again", events: func(first, second *entryLink) []event {
			return []event{{link: first, connected: true}, {link: first, report: use}, {link: second, connected: true}, {link: first, disconnected: true}}
		}},
		{name: "late report of the first connection", events: func(first, second *entryLink) []event {
			return []event{{link: first, connected: true}, {link: second, connected: true}, {link: first, report: use}, {link: first, disconnected: true}}
		}},
		{name: "used on the second connection", events: func(first, second *entryLink) []event {
			return []event{{link: first, connected: true}, {link: first, report: use}, {link: second, connected: true}, {link: second, report: use}, {link: first, disconnected: true}}
		}, wantPinned: 1},
		{name: "both connections lost", events: func(first, second *entryLink) []event {
			return []event{{link: first, connected: true}, {link: second, connected: true}, {link: second, report: use}, {link: first, disconnected: true}, {link: second, disconnected: true}}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			clock := quartz.NewMock(t)
			e := &scriptedEngine{id: "i-1", report: holdings.Report{StartMilli: 1, Models: []ident.ModelVersion{{Model: "m", Version: "1"}}, Resident: []ident.AdapterVersion{adapter}}}
			s := New(e, nil, WithClock(clock))
			s.Configure(routing.Engine{Adapters: 2, Models: []routing.Model{{Name: "m"}}})
			s.pollAndOrder(t.Context())
			links := [2]*entryLink{}
			for i := range links {
				links[i] = &entryLink{host: "edge-1", states: make(chan control.State, 1)}
			}
			for _, x := range c.events(links[0], links[1]) {
				s.handleEvent(x)
			}
			clock.Advance(time.Minute)
			if n := s.keeper.Pinned(clock.Now()); n != c.wantPinned {
				t.Errorf("%d adapters in use a minute later, want %d", n, c.wantPinned)
			}
		})
	}
}

// TestRestartTakesFencingNumber guards against a late order to an engine's previous incarnation that counts for the next one, because it has the
// same id, sequence and fencing number as the orders of now.
func TestRestartTakesFencingNumber(t *testing.T) {
	for _, c := range []struct {
		name    string
		restart holdings.Report
		want    bool
	}{
		{name: "no restart", restart: holdings.Report{StartMilli: 1}},
		{name: "restarted under its id", restart: holdings.Report{StartMilli: 2}, want: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			e := &scriptedEngine{id: "i-1", report: holdings.Report{StartMilli: 1}}
			s := New(e, nil, WithClock(quartz.NewMock(t)))
			s.Configure(routing.Engine{Adapters: 2, Models: []routing.Model{{Name: "m"}}})
			s.handleEvent(event{fencingNumber: 7})
			s.pollAndOrder(t.Context())
			e.report = c.restart
			s.pollAndOrder(t.Context())
			if s.keeper.FencingNumber() != 7 {
				t.Errorf("fencing number %d before the next one is acquired, want 7", s.keeper.FencingNumber())
			}
			select {
			case <-s.reclaim:
				if !c.want {
					t.Error("another fencing number is acquired")
				}
			default:
				if c.want {
					t.Error("no other fencing number is acquired")
				}
			}
		})
	}
}
