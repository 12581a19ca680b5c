package soak_test

import (
	"testing"
	"time"

	"shallotring.dev/soak/fleet"
)

// A schedule that does not repeat itself with its seed cannot be examined afterwards.
func TestSameSeedSameSchedule(t *testing.T) {
	t.Parallel()
	run := func(seed uint64) fleet.Result { return fleet.New(fleet.Options{Seed: seed}).Run(20 * time.Second) }
	first, second, other := run(4), run(4), run(5)
	if first.Digest != second.Digest || first.Log.Count() != second.Log.Count() {
		t.Errorf("seed 4: %d events with digest %s, then %d with %s",
			first.Log.Count(), first.Digest, second.Log.Count(), second.Digest)
	}
	if first.Digest == other.Digest {
		t.Error("two seeds have the same schedule")
	}
}
