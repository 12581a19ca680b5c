package direct_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"shallotring.dev/daemon/trial"
	"shallotring.dev/platform/standin"
)

// TestLoadsStayWithinTheMemory guards against engines that crash because they are ordered to load more than their memory holds, although
// they have free adapter slots. The stand-in records such orders as violations.
func TestLoadsStayWithinTheMemory(t *testing.T) {
	t.Parallel()
	d := deploySize(t, trial.Size{Engines: 2, Entries: 2, Memory: standin.Memory{Total: 1000, Model: 900, Adapter: 60}})
	var wg sync.WaitGroup
	for i := range 12 {
		wg.Go(func() { d.sendUntilServed("/g/1", fmt.Sprint("g", i), fmt.Sprint("m/a", i%6)) })
	}
	wg.Wait()
}

// TestNoMemoryIsRefusedAtOnce guards against requests that wait until their deadline for an adapter or a model that no engine can hold, and
// against engines that are ordered to load it.
func TestNoMemoryIsRefusedAtOnce(t *testing.T) {
	for name, memory := range map[string]standin.Memory{
		"no adapter fits": {Total: 1000, Model: 990, Adapter: 60},
		"no model fits":   {Total: 1000, Model: 1100, Adapter: 60},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := deploySize(t, trial.Size{Engines: 2, Entries: 1, Memory: memory})
			d.sendUntilServed("/o/1", "order", "")
			waitFor(t, "the agents have the configuration", func() bool { return d.log.count("engine holds no adapter beside its base model") >= 2 })
			time.Sleep(time.Second)
			start := time.Now()
			status, _, err := d.send("/g/1", "g", "m/a1")
			if err != nil || status != http.StatusServiceUnavailable {
				t.Fatalf("status %d, %v", status, err)
			}
			if passed := time.Since(start); passed > 300*time.Millisecond {
				t.Errorf("refused after %s", passed)
			}
		})
	}
}
