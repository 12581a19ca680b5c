package soak_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"shallotring.dev/soak"
	"shallotring.dev/soak/fleet"
)

// Guards against a schedule that takes another course when it runs again with its seed, for example because it depends on the
// order of a map: a violation could then not be reproduced.
func TestSameSeedSameSchedule(t *testing.T) {
	t.Parallel()
	run := func(seed uint64) fleet.Result { return fleet.New(fleet.Options{Seed: seed}).Run(20 * time.Second) }
	first, second, other := run(4), run(4), run(5)
	if first.Digest != second.Digest || first.Log.Count() != second.Log.Count() {
		t.Errorf("seed 4: %d events with digest %s, then %d with %s",
			first.Log.Count(), first.Digest, second.Log.Count(), second.Digest)
	}
	if first.Digest == other.Digest {
		t.Error("seeds 4 and 5 give the same schedule")
	}
}

// Guards against step functions that violate a guarantee when they run together under faults, and against schedules that
// find no violation because no requests run or no faults occur.
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
				t.Errorf("no completed requests, no requests that were not run, no runs or no faults: %+v, %d faults", c, r.Faults)
			}
		})
	}
}

// Guards against a change of the last line of the output, which has a fixed form.
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
