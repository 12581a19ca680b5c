package agent

import (
	"testing"

	"shallotring.dev/protocol/wire"
	"shallotring.dev/state/resource"
)

// TestInForceReportsTheGeneration guards against an agent that has skipped an unreadable shard of the configuration and reports
// the revision of a newer shard as in force (guarantee G8).
func TestInForceReportsTheGeneration(t *testing.T) {
	set := resource.NewSet().Apply(1, 9, &resource.Shard{})
	s := &service{agent: &Agent{process: "agent-1", configuration: fixedConfiguration{set: set, generation: 4, failure: "shard 02 cannot be read"}}}
	r, err := s.InForce(t.Context(), &wire.InForceRequest{})
	if err != nil {
		t.Fatal(err)
	}
	if r.GetGeneration() != 4 || r.GetFailure() == "" {
		t.Errorf("got generation %d and failure %q, want 4 and a reason", r.GetGeneration(), r.GetFailure())
	}
}
