package soak_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"shallotring.dev/soak"
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

// Guards against wiring of the step functions that breaks a guarantee under faults, and against a soak that finds
// nothing because nothing happens.
func TestSchedules(t *testing.T) {
	t.Parallel()
	for seed := uint64(100); seed < 110; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			r := fleet.New(fleet.Options{Seed: seed}).Run(20 * time.Second)
			for _, v := range r.Violations {
				t.Errorf("%s: %s %q", v.Guarantee, v.Detail, v.Subjects)
			}
			c := r.Counts
			if c.Completed == 0 || c.NotRun == 0 || c.Runs == 0 || r.Faults == 0 {
				t.Errorf("too little happened: %+v, %d faults", c, r.Faults)
			}
		})
	}
}

// Guards against a last line or a report in another form than the fixed one.
func TestOutput(t *testing.T) {
	t.Parallel()
	var out strings.Builder
	total, err := soak.Run(soak.Options{Seed: 200, Schedules: 2, Duration: 5 * time.Second}, &out)
	if err != nil {
		t.Fatal(err)
	}
	want := fmt.Sprintf("soak: seed=200 requests=%d faults=%d violations=0\n", total.Counts.Requests, total.Faults)
	if !strings.HasSuffix(out.String(), "\n"+want) {
		t.Errorf("output %q does not end with %q", out.String(), want)
	}
}
