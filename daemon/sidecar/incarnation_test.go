package sidecar

import (
	"testing"
	"time"

	"github.com/coder/quartz"

	"shallotring.dev/protocol/control"
	"shallotring.dev/state/holdings"
	"shallotring.dev/state/ident"
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
			for _, born := range c.born {
				s.handleEvent(event{link: link, report: control.UsageReport{Born: born, Uses: []holdings.Use{{Adapter: adapter, Running: 3}}}})
			}
			if n := s.keeper.Pinned(clock.Now()); n != c.wantPinned {
				t.Errorf("%d adapters in use, want %d", n, c.wantPinned)
			}
		})
	}
}
