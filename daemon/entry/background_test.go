package entry

import (
	"sync"
	"testing"
)

// TestBackgroundStop guards against a data race, or a call that starts after stop, when handlers outlive an aborted
// graceful stop.
func TestBackgroundStop(t *testing.T) {
	var b background
	var handlers sync.WaitGroup
	ran, startedAfterStop := make(chan struct{}, 1000), false
	for range 8 {
		handlers.Go(func() {
			for range 100 {
				b.Go(func() { ran <- struct{}{} })
			}
		})
	}
	b.stop()
	b.Go(func() { startedAfterStop = true })
	handlers.Wait()
	b.calls.Wait()
	if startedAfterStop {
		t.Error("a call started after stop")
	}
}
