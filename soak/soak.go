package soak

import (
	"fmt"
	"io"
	"time"

	"shallotring.dev/soak/fleet"
	"shallotring.dev/soak/judge"
)

// Options select the schedules of a run.
type Options struct {
	Seed uint64
	// Schedules is the number of consecutive seeds.
	Schedules int
	// Duration is the simulated time of each schedule with traffic and faults.
	Duration time.Duration
	LeaveOut []fleet.FaultKind
}

// Total holds the sums over the schedules of a run.
type Total struct {
	Faults     int
	Violations int
	// Exposed counts the harmful late orders at endpoints that ignore fencing numbers, which no guarantee covers.
	Exposed int
	Counts  judge.Counts
}

// Run runs the schedules, up to the first one with a violation, and prints the violations and the counts. The last line has
// a fixed form.
func Run(o Options, out io.Writer) (t Total, err error) {
	for n := range o.Schedules {
		seed := o.Seed + uint64(n)
		r := fleet.New(fleet.Options{Seed: seed, LeaveOut: o.LeaveOut}).Run(o.Duration)
		t.Faults += r.Faults
		t.Violations += len(r.Violations)
		t.Exposed += r.Exposed
		t.Counts.Add(r.Counts)
		if len(r.Violations) > 0 {
			err = printViolations(r, out)
			break
		}
	}
	if err != nil {
		return t, err
	}
	if _, err = fmt.Fprintf(out, "%+v exposed at endpoints that ignore fencing: %d\n", t.Counts, t.Exposed); err != nil {
		return t, err
	}
	_, err = fmt.Fprintf(out, "soak: seed=%d requests=%d faults=%d violations=%d\n", o.Seed, t.Counts.Requests, t.Faults, t.Violations)
	return t, err
}

// printViolations prints each violation with the events that concern its subjects.
func printViolations(r fleet.Result, out io.Writer) (err error) {
	for _, v := range r.Violations {
		if _, err = fmt.Fprintf(out, "violation of %s with seed %d: %s %q\n", v.Guarantee, r.Seed, v.Detail, v.Subjects); err != nil {
			return err
		}
		if err = r.Log.Print(out, v.Subjects...); err != nil {
			return err
		}
	}
	return nil
}
