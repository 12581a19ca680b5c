package agent

import (
	"context"
	"testing"

	"github.com/coder/quartz"

	"shallotring.dev/coordination/claim"
	"shallotring.dev/state/gate"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/resource"
	"shallotring.dev/transport/timeline"
)

// staleConfiguration is a configuration in which the endpoint is not marked as leaving until Refresh is called.
type staleConfiguration struct {
	fixedConfiguration
	leaving     *resource.Set
	refreshedTo ident.Revision
}

func (l *staleConfiguration) Refresh(_ context.Context, revision ident.Revision) (err error) {
	l.refreshedTo, l.set = revision, l.leaving
	return nil
}

// TestReclaimReadsTheConfigurationFirst guards against an agent that is partitioned while its endpoint is marked as leaving,
// acquires the claim again and admits new tries (guarantee G6).
func TestReclaimReadsTheConfigurationFirst(t *testing.T) {
	declared := newConfiguration(resource.Service)
	e, _ := declared.set.Endpoint("e1")
	leavingEndpoint := *e
	leavingEndpoint.Leaving = true
	shard := &resource.Shard{Endpoints: []resource.Endpoint{leavingEndpoint}}
	shardNumber := resource.Name{Kind: resource.KindEndpoint, Name: "e1"}.Shard()
	c := &staleConfiguration{fixedConfiguration: declared, leaving: declared.set.Apply(shardNumber, 100, shard)}
	work, stop := context.WithCancelCause(t.Context())
	a := &Agent{
		settings: Settings{Endpoint: "e1"}, configuration: c, clock: quartz.NewReal(), log: timeline.Discard(),
		inbox: make(chan message), work: work, stop: stop,
	}
	defer stop(nil)
	a.claimIncarnation.Store(7)
	a.handleClaimChange(claim.Held, 120)
	if e := (<-a.inbox).event; e != (gate.Drain{}) {
		t.Fatalf("first event is %#v, want a drain", e)
	}
	if e := (<-a.inbox).event; e != (gate.Claim{Status: gate.ClaimHeld, Incarnation: 120}) || c.refreshedTo != 120 {
		t.Errorf("second event is %#v after a refresh to %d", e, c.refreshedTo)
	}
}
