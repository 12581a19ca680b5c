package judge

import (
	"testing"
	"time"

	"shallotring.dev/soak/backend"
	"shallotring.dev/soak/history"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/outcome"
)

var now = time.Unix(1000, 0)

func newJudge() *Judge {
	clock := func() time.Time { return now }
	return New(clock, history.New(clock), func() {})
}

// Guards against violations that are counted as exposed without reason. Only an order of a paused agent whose successor has the
// claim, at an endpoint that ignores fencing numbers, is exposed.
func TestExposureNeedsPausedSender(t *testing.T) {
	tests := []struct {
		name          string
		checksFencing bool
		paused        bool
		claim         ident.Incarnation // the sender's is 5
		exposed       bool
	}{
		{"paused sender with a successor", false, true, 6, true},
		{"endpoint checks fencing", true, true, 6, false},
		{"sender was not paused", false, false, 6, false},
		{"no successor", false, true, 5, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			j := newJudge()
			e := &backend.Endpoint{Name: "e1", ChecksFencing: tt.checksFencing}
			j.Claimed("e1", tt.claim)
			run := &backend.Run{Request: backend.Request{ID: ident.TryID{RequestID: "r1"}}}
			j.Evicted(e, ident.AdapterVersion{Adapter: "a", Version: "v"}, backend.Order{Incarnation: 5, Paused: tt.paused}, []*backend.Run{run})
			if got := j.Exposed == 1; got != tt.exposed || len(j.Violations()) == j.Exposed {
				t.Errorf("exposed %d, violations %v", j.Exposed, j.Violations())
			}
		})
	}
}

// Guards against a judge that accepts a truncated or wrong response (guarantee G3), or a run of a request that was reported as
// not-run (guarantee G4).
func TestJudgeChecksResponses(t *testing.T) {
	whole := "data: a\n\ndata: [DONE]\n\n"
	tests := []struct {
		name     string
		outcome  outcome.Outcome
		received string
		want     Guarantee
	}{
		{"complete response", outcome.Completed, whole, ""},
		{"truncated response, reported as completed", outcome.Completed, "data: a\n\n", G3},
		{"response of another request", outcome.Completed, "data: b\n\ndata: [DONE]\n\n", G3},
		{"response received twice", outcome.Completed, whole + whole, G3},
		{"prefix, then an error", outcome.Unknown, "data: a\n\n", ""},
		{"[DONE] event, then an error", outcome.Unknown, whole, G3},
		{"reported as not-run, but ran", outcome.NotRun, "", G4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			j := newJudge()
			q := &Request{ID: "r1", Body: "b", Deadline: now.Add(time.Second), Outcome: tt.outcome, Received: []byte(tt.received), Dispatched: 1}
			j.RequestSent(q)
			q.runs = []*backend.Run{{Request: backend.Request{Body: "b"}, Endpoint: &backend.Endpoint{Name: "e1"}, Text: whole, Done: true}}
			j.RequestFinished(q)
			var got Guarantee
			if v := j.Violations(); len(v) > 0 {
				got = v[0].Guarantee
			}
			if got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}
