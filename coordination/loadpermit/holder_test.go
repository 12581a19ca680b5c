package loadpermit

import (
	"context"
	"testing"
	"time"

	"github.com/coder/quartz"

	"shallotring.dev/coordination/registry"
	"shallotring.dev/protocol/keyvalue"
)

// heldStore is a key-value service in which another entry is the holder.
type heldStore struct {
	Store
	reads int
}

func (s *heldStore) Get(context.Context, string) (keyvalue.Record, bool, error) {
	s.reads++
	return keyvalue.Record{}, true, nil
}

// TestPollInterval guards against entries that poll the holder's record too often: with many entries, these reads would take a
// large part of the capacity of the key-value service.
func TestPollInterval(t *testing.T) {
	clock := quartz.NewMock(t).WithLogger(quartz.NoOpLogger)
	store := &heldStore{}
	h := NewHolder(store, registry.ProcessRecord{}, nil, WithClock(clock))
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
