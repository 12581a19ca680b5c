package holdings

import (
	"testing"
	"time"
)

// Guards against requests that spend their time at an engine whose places are all in use while others could load the adapter, the
// pattern of a day on which many adapters are asked for at once, and against leaving an engine that is about to have it.
func TestWaitLeavesAFullEngine(t *testing.T) {
	t.Parallel()
	began := time.Unix(1000, 0)
	for _, c := range []struct {
		name            string
		left, waited    time.Duration
		loading, leaves bool
		again           time.Duration
	}{
		{"just begun", 6 * time.Second, 0, false, false, loadStart},
		{"early", 6 * time.Second, 200 * time.Millisecond, false, false, 300 * time.Millisecond},
		{"no place", 6 * time.Second, loadStart, false, true, 0},
		{"on its way", 6 * time.Second, loadStart, true, false, 1500 * time.Millisecond},
		{"on its way for too long", 6 * time.Second, 2 * time.Second, true, true, 0},
		{"little time", 900 * time.Millisecond, 0, false, false, 300 * time.Millisecond},
		{"little time is over", 900 * time.Millisecond, 300 * time.Millisecond, true, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := Wait{Began: began, Deadline: began.Add(c.left)}
			if again, leave := w.Next(began.Add(c.waited), c.loading); again != c.again || leave != c.leaves {
				t.Errorf("again after %s, leave %t, want %s, %t", again, leave, c.again, c.leaves)
			}
		})
	}
}
