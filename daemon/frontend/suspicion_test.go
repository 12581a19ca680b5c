package frontend

import (
	"fmt"
	"log/slog"
	"net/http"
	"testing"

	"shallotring.dev/platform/message"
	"shallotring.dev/protocol/control"
	"shallotring.dev/protocol/upstream"
	"shallotring.dev/state/fingerprint"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/outcome"
)

// newSuspectRequest returns a request with a body of a long prompt.
func newSuspectRequest() *request {
	return &request{method: http.MethodPost, host: "a.example", target: "/g/1", body: make([]byte, 18<<10)}
}

// endUnder reports the end of endpoints under a request, as another entry has seen it.
func endUnder(f *Frontend, p fingerprint.Fingerprint, endpoints ...int) {
	for _, i := range endpoints {
		// The ends are independent, a second after each other.
		f.ApplyEvidence(control.Evidence{Host: "edge-2", Ends: []control.EndEvidence{{Endpoint: ident.Endpoint(fmt.Sprint("i-", i)), AgeMilli: int64(10_000 - 1000*i), Requests: []control.InterruptedRequest{{Request: p}}}}})
	}
}

// TestNothingIsComputedWithoutSuspicion guards against a cost of the quarantine for requests while no endpoint has ended.
func TestNothingIsComputedWithoutSuspicion(t *testing.T) {
	f := New(message.Headers{}, "edge-1", "a", WithLog(slog.New(slog.DiscardHandler)))
	x := newSuspectRequest()
	response := &upstream.Response{Status: http.StatusOK, Framing: upstream.LengthFraming}
	if n := testing.AllocsPerRun(100, func() {
		if f.suspectRefusal(t.Context(), x) != nil || f.loadRefusal(t.Context(), x) != nil {
			t.Error("the request is refused")
		}
		f.recordCompleteRun(x, response)
	}); n > 0 || x.identity != nil {
		t.Errorf("%.0f allocations, identity computed: %t", n, x.identity != nil)
	}
}

// TestEvidenceOfOthersIsApplied guards against an entry that sends a request that other entries have seen crash endpoints, that forgets complete
// runs of its own, or that refuses other requests.
func TestEvidenceOfOthersIsApplied(t *testing.T) {
	for _, c := range []struct {
		name    string
		ends    []int
		runs    int
		refused bool
	}{
		{"two ends", []int{1, 2}, 0, false},
		{"three ends", []int{1, 2, 3}, 0, true},
		{"three ends beside a complete run here", []int{1, 2, 3}, 1, false},
		{"three ends beside complete runs here", []int{1, 2, 3}, 4, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := New(message.Headers{}, "edge-1", "a", WithLog(slog.New(slog.DiscardHandler)))
			x, other := newSuspectRequest(), newSuspectRequest()
			other.target = "/g/2"
			whole := x.identify().request
			endUnder(f, whole, c.ends[:1]...)
			for range c.runs {
				f.recordCompleteRun(newSuspectRequest(), &upstream.Response{Status: http.StatusOK, Framing: upstream.LengthFraming})
			}
			endUnder(f, whole, c.ends[1:]...)
			r := f.suspectRefusal(t.Context(), x)
			if (r != nil) != c.refused || r != nil && (r.Reason != outcome.Quarantined || r.RetryAfter <= 0) {
				t.Errorf("refusal %+v, want one: %t", r, c.refused)
			}
			if r := f.suspectRefusal(t.Context(), other); r != nil {
				t.Errorf("another request is refused: %+v", r)
			}
		})
	}
}

// BenchmarkSuspicion checks a request with a long prompt while another one is under suspicion.
func BenchmarkSuspicion(b *testing.B) {
	f := New(message.Headers{}, "edge-1", "a", WithLog(slog.New(slog.DiscardHandler)))
	endUnder(f, fingerprint.Of("GET", "", fmt.Sprint("/", b.N), "", nil), 1)
	b.ReportAllocs()
	x := newSuspectRequest()
	for b.Loop() {
		x.identity = nil
		if f.suspectRefusal(b.Context(), x) != nil {
			b.Fatal("refused")
		}
	}
}
