package attempt

import (
	"math/rand/v2"
	"testing"
	"time"

	"shallotring.dev/protocol/wire"
	"shallotring.dev/state/outcome"
	"shallotring.dev/state/retry"
)

// Guards against a retry at the endpoint that refused the previous try, and against retries beyond the retry budget.
func TestRetries(t *testing.T) {
	budget := retry.New(0, rand.New(rand.NewPCG(1, 1)))
	r := newDriver(t, Request{}, budget).toDispatch().receiveFrames([]*wire.Frame{refusal(1, outcome.QueueFull)})
	r.step(Event{Kind: Waited})
	if c := r.commands[0]; c.Kind != Place || len(c.Exclude) != 1 || c.Exclude[0] != "e0" {
		t.Errorf("got %+v", c)
	}
	r.step(Event{Kind: Placed, Endpoint: "e1", Incarnation: 7}).receiveFrames(stream(t, 2, plainType, "ok"))
	if r.result == nil || r.result.Outcome != outcome.Completed || r.delivered.String() != "ok" {
		t.Errorf("got %+v", r.result)
	}
	for budget.Take() {
	}
	r = newDriver(t, Request{}, budget).toDispatch().receiveFrames([]*wire.Frame{refusal(1, outcome.QueueFull)})
	if r.result == nil || r.result.Refusal.Reason != outcome.QueueFull || r.result.Refusal.RetryAfter != 1500*time.Millisecond {
		t.Errorf("spent budget: got %+v", r.result)
	}
}

// Guards against retries that cannot finish before the deadline and still use up the budget, and against retries for a
// caller over its share, which would move its excess load from endpoint to endpoint.
func TestNoRetryThatCannotSucceed(t *testing.T) {
	tests := []struct {
		name      string
		remaining time.Duration
		reason    outcome.Reason
		retried   bool
	}{
		{"enough time remaining", time.Minute, outcome.QueueFull, true},
		{"too little time remaining", time.Nanosecond, outcome.QueueFull, false},
		{"caller over its share", time.Minute, outcome.CallerLimit, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			budget := retry.New(0, rand.New(rand.NewPCG(1, 1)))
			r := newDriver(t, Request{Deadline: startTime.Add(tt.remaining)}, budget).toDispatch()
			r.receiveFrames([]*wire.Frame{refusal(1, tt.reason)})
			if retried := r.result == nil; retried != tt.retried {
				t.Fatalf("retried: %v", retried)
			}
			if r.result != nil && (r.result.Outcome != outcome.NotRun || r.result.Refusal.Reason != tt.reason) {
				t.Errorf("got %+v", r.result)
			}
			taken := 0
			for budget.Take() {
				taken++
			}
			// The budget starts with 10 retries, and a ratio of 0 adds none.
			if want := 10; !tt.retried && taken != want {
				t.Errorf("%d retries left, want %d", taken, want)
			}
		})
	}
}
