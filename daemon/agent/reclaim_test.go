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

// lateConfiguration learns of a leaving endpoint only when it is refreshed.
type lateConfiguration struct {
	fixedConfiguration
	leaving *resource.Set
	asked   ident.Revision
}

func (l *lateConfiguration) Refresh(_ context.Context, revision ident.Revision) (err error) {
	l.asked, l.set = revision, l.leaving
	return nil
}

// Guards against an agent that was cut off while its endpoint was drained, claims it again and admits new work (G6).
func TestReclaimReadsTheConfigurationFirst(t *testing.T) {
	declared := declare(resource.Service)
	e, _ := declared.set.Endpoint("e1")
	left := *e
	left.Leaving = true
	shard := &resource.Shard{Endpoints: []resource.Endpoint{left}}
	number := resource.Name{Kind: resource.KindEndpoint, Name: "e1"}.Shard()
	c := &lateConfiguration{fixedConfiguration: declared, leaving: declared.set.Apply(number, 100, shard)}
	work, stop := context.WithCancelCause(t.Context())
	a := &Agent{
		settings: Settings{Endpoint: "e1"}, configuration: c, clock: quartz.NewReal(), log: timeline.Discard(),
		inbox: make(chan message), work: work, stop: stop,
	}
	defer stop(nil)
	a.held.Store(7)
	a.claimChanged(claim.Held, 120)
	if e := (<-a.inbox).event; e != (gate.Drain{}) {
		t.Fatalf("first event is %#v, want a drain", e)
	}
	if e := (<-a.inbox).event; e != (gate.Claim{Status: gate.ClaimHeld, Incarnation: 120}) || c.asked != 120 {
		t.Errorf("second event is %#v after a refresh to %d", e, c.asked)
	}
}
