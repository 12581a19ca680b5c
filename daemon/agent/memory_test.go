package agent

import (
	"errors"
	"fmt"
	"io"
	"testing"

	"shallotring.dev/state/ident"
	"shallotring.dev/state/resource"
)

// TestLoadsStayWithinTheMemory guards against an engine that is ordered to load more adapters than its memory holds, because it has slots for
// them.
func TestLoadsStayWithinTheMemory(t *testing.T) {
	s := startAgent(t, resource.Engine)
	e, _ := s.config.set.Endpoint("e1")
	if e.Slots < 2 || e.AdapterSlots() != 1 {
		t.Fatalf("the engine has %d slots and memory for %d adapters", e.Slots, e.AdapterSlots())
	}
	for i, adapter := range []string{"a1", "a2", "a1"} {
		if _, _, err := s.run(s.request(ident.RequestID(fmt.Sprint("r", i)), adapter)); !errors.Is(err, io.EOF) {
			t.Fatal(err)
		}
		s.engine.mu.Lock()
		n := len(s.engine.loaded)
		s.engine.mu.Unlock()
		if n > 1 {
			t.Errorf("the engine holds %d adapters, and has memory for one", n)
		}
	}
}
