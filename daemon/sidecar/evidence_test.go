package sidecar

import (
	"testing"
	"time"

	"github.com/coder/quartz"

	"shallotring.dev/protocol/control"
	"shallotring.dev/state/ident"
)

// TestEvidenceIsPassedOn guards against evidence that an agent loses, returns to its sender, ages wrongly or keeps without a bound, and against
// messages that an entry of an earlier release takes for a state.
func TestEvidenceIsPassedOn(t *testing.T) {
	clock := quartz.NewMock(t)
	s := New(&fakeEngine{}, nil, WithClock(clock))
	connect := func(host ident.Host, takesEvidence bool) *entryLink {
		x := &entryLink{host: host, takesEvidence: takesEvidence, states: make(chan control.State, 1), evidence: make(chan control.Evidence, maxEvidence)}
		s.handleEvent(event{link: x, connected: true})
		return x
	}
	share := func(from *entryLink, endpoint ident.Endpoint) {
		s.handleEvent(event{link: from, report: control.UsageReport{Evidence: &control.Evidence{Ends: []control.EndEvidence{{Endpoint: endpoint, AgeMilli: 5}}}}})
	}
	first, second, earlier := connect("edge-1", true), connect("edge-2", true), connect("edge-3", false)
	share(first, "i-1")
	if len(first.evidence) != 0 || len(second.evidence) != 1 || len(earlier.evidence) != 0 {
		t.Fatalf("%d, %d and %d messages, want one to the other entry", len(first.evidence), len(second.evidence), len(earlier.evidence))
	}
	if v := <-second.evidence; v.Host != "edge-1" || v.Ends[0].Endpoint != "i-1" || v.Ends[0].AgeMilli != 5 {
		t.Errorf("evidence %+v", v)
	}
	clock.Advance(2 * time.Second)
	late := connect("edge-4", true)
	if v := <-late.evidence; v.Ends[0].AgeMilli != 2005 {
		t.Errorf("evidence of 2 s before %+v", v)
	}
	clock.Advance(evidenceExpiry)
	if x := connect("edge-5", true); len(x.evidence) != 0 {
		t.Error("evidence is sent after its expiry")
	}
	for range 2 * maxEvidence {
		share(first, "i-2")
	}
	if len(s.evidence) > maxEvidence || len(second.evidence) != maxEvidence {
		t.Errorf("%d messages are kept, %d wait for an entry that does not read", len(s.evidence), len(second.evidence))
	}
}
