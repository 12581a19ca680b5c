package loadpermit

import (
	"context"
	"testing"
	"time"

	"github.com/coder/quartz"

	"shallotring.dev/coordination/registry"
	"shallotring.dev/protocol/keyvalue"
)

// heldStore is a service in which another entry holds the permits.
type heldStore struct {
	Store
	reads int
}

func (s *heldStore) Get(context.Context, string) (keyvalue.Record, bool, error) {
	s.reads++
	return keyvalue.Record{}, true, nil
}

func TestWaitingEntryReadsSeldom(t *testing.T) {
	// Guards against reads of the permit record that grow into a large part of the service's rate with the entries.
	clock := quartz.NewMock(t).WithLogger(quartz.NoOpLogger)
	store := &heldStore{}
	h := New(store, registry.ProcessRecord{}, nil, WithClock(clock))
	for range 30 {
		if err := h.step(t.Context()); err != nil {
			t.Fatal(err)
		}
		clock.Advance(time.Second).MustWait(t.Context())
	}
	if store.reads != 10 {
		t.Errorf("%d reads in 30 seconds, want 10", store.reads)
	}
}
