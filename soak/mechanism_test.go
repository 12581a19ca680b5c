package soak_test

import (
	"slices"
	"testing"
	"time"

	"shallotring.dev/soak/fleet"
	"shallotring.dev/soak/judge"
)

// Guards against a judge that overlooks violations: each case leaves one mechanism out of the simulation, or lets a fake
// defeat it, and the judge must report a violation of the guarantee that the mechanism upholds.
func TestJudgeSeesMissingMechanism(t *testing.T) {
	t.Parallel()
	tests := []struct {
		without fleet.Mechanism
		want    judge.Guarantee
		// leaveOut omits the faults that would end the previous agents before their late orders take effect.
		leaveOut []fleet.FaultKind
		// firstSeed is the first of up to 20 seeds, which are tried until a schedule has the violation.
		firstSeed uint64
	}{
		{fleet.AdapterNames, judge.G1, nil, 0},
		{fleet.SlotsInUse, judge.G2, nil, 0},
		{fleet.EngineMemory, judge.Capacity, nil, 0},
		{fleet.FrameChecks, judge.G3, nil, 0},
		{fleet.Tombstones, judge.G4, nil, 5},
		{fleet.Ledger, judge.G5, nil, 0},
		{fleet.DrainOnLeaving, judge.G6, nil, 0},
		{fleet.GracefulStop, judge.G7, nil, 0},
		{fleet.ConfigurationOrder, judge.G8, nil, 3},
		{fleet.Generation, judge.G8, nil, 6},
		{fleet.Settling, judge.Final, nil, 0},
		{fleet.ClaimCheck, judge.G2, []fleet.FaultKind{
			fleet.KillAgent, fleet.KillEntry, fleet.RollingRestart, fleet.DrainEndpoint, fleet.RestartEngine, fleet.StopEngine, fleet.StoreDown,
		}, 9},
	}
	for _, tt := range tests {
		t.Run(string(tt.without), func(t *testing.T) {
			t.Parallel()
			var found []judge.Guarantee
			for seed := tt.firstSeed; seed < tt.firstSeed+20; seed++ {
				r := fleet.New(fleet.Options{Seed: seed, Without: tt.without, LeaveOut: tt.leaveOut}).Run(time.Minute)
				for _, v := range r.Violations {
					found = append(found, v.Guarantee)
				}
				if slices.Contains(found, tt.want) {
					t.Logf("seed %d: %s: %s", seed, tt.want, r.Violations[0].Detail)
					return
				}
			}
			t.Errorf("no violation of %s in 20 schedules; violations found: %v", tt.want, found)
		})
	}
}
