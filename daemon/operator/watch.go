package operator

import (
	"context"
	"slices"

	"github.com/rotisserie/eris"

	"shallotring.dev/coordination/configuration"
	"shallotring.dev/coordination/registry"
	"shallotring.dev/protocol/keyvalue"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/resource"
)

type watchCommand struct {
	Resource string `arg:"" optional:"" help:"Kind or Kind/name; all resources by default."`
}

// Run shows changes until the program is stopped.
func (w *watchCommand) Run(ctx context.Context, s *session) (err error) {
	g := getCommand{Resource: w.Resource}
	selector, err := g.selector()
	if err != nil {
		return err
	}
	client, closeClient, err := s.client()
	if err != nil {
		return err
	}
	defer closeClient()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sets, followErr := make(chan *resource.Set), make(chan error, 1)
	first, revision, err := s.editor(client).ReadAll(ctx)
	if err != nil {
		return err
	}
	go func() { followErr <- s.followChanges(ctx, client, first, revision, sets) }()
	return s.showChanges(ctx, client, selector, first, sets, followErr)
}

// followChanges sends the configuration after each change. A watch that fails because the service is unavailable is resumed; a
// watch from a compacted revision is replaced by a full read and a new watch.
func (s *session) followChanges(ctx context.Context, client *keyvalue.Client, set *resource.Set, revision ident.Revision, sets chan<- *resource.Set) (err error) {
	for ctx.Err() == nil {
		err = keyvalue.WatchUntilIdle(ctx, client, s.clock, registry.ConfigPrefix, revision, func(changes []keyvalue.Change, newest ident.Revision) error {
			revision = max(revision, newest)
			if len(changes) == 0 {
				return nil
			}
			next, err := configuration.ApplyChanges(set, changes)
			if err != nil {
				return err
			}
			set = next
			return sendSet(ctx, sets, set)
		})
		if !eris.Is(err, keyvalue.ErrCompacted) && !eris.Is(err, keyvalue.ErrUnavailable) {
			return err
		}
		t := s.clock.NewTimer(pollInterval)
		select {
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
		if !eris.Is(err, keyvalue.ErrCompacted) {
			continue
		}
		next, nextRevision, err := s.editor(client).ReadAll(ctx)
		if err != nil {
			continue
		}
		set, revision = next, nextRevision
		if err = sendSet(ctx, sets, set); err != nil {
			return err
		}
	}
	return ctx.Err()
}

func sendSet(ctx context.Context, sets chan<- *resource.Set, set *resource.Set) (err error) {
	select {
	case sets <- set:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// showChanges prints each change once when it is written and once when it is accepted.
func (s *session) showChanges(ctx context.Context, client *keyvalue.Client, selector resource.Name, old *resource.Set, sets <-chan *resource.Set, followErr <-chan error) (err error) {
	t := s.clock.NewTicker(pollInterval)
	defer t.Stop()
	var pending []change
	heading := changeHeading
	for {
		var list []change
		select {
		case set := <-sets:
			list = differences(old, set, selector)
			old = set
			pending = append(pending, list...)
		case <-t.C:
			list, pending = s.splitAccepted(ctx, client, pending)
		case err = <-followErr:
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		if len(list) == 0 {
			continue
		}
		if err = s.printChanges(heading, list); err != nil {
			return err
		}
		heading = ""
	}
}

// splitAccepted splits the changes into those that are in force at each live process and the rest.
func (s *session) splitAccepted(ctx context.Context, client *keyvalue.Client, pending []change) (accepted, rest []change) {
	if len(pending) == 0 {
		return nil, nil
	}
	states, err := s.pollStates(ctx, client)
	if err != nil {
		return nil, pending
	}
	for _, c := range pending {
		r := newResourceState(resource.Name{Kind: c.Kind, Name: c.Name}, c.Revision, states)
		if r.State != stateAccepted {
			rest = append(rest, c)
			continue
		}
		c.Action, c.InForce = actionAccepted, r.inForceCount()
		accepted = append(accepted, c)
	}
	return accepted, rest
}

// differences lists the selected resources that were written or deleted between two configurations.
func differences(old, updated *resource.Set, selector resource.Name) (list []change) {
	for _, d := range selectResources(updated, selector) {
		n := resource.Name{Kind: d.Kind, Name: d.Name}
		if old.ResourceRevision(n) != d.Revision {
			list = append(list, change{Kind: d.Kind, Name: d.Name, Action: actionWritten, Revision: d.Revision})
		}
	}
	for _, d := range selectResources(old, selector) {
		n := resource.Name{Kind: d.Kind, Name: d.Name}
		if _, ok := updated.Get(n); !ok {
			list = append(list, change{Kind: d.Kind, Name: d.Name, Action: actionDeleted, Revision: updated.ShardRevision(n)})
		}
	}
	slices.SortStableFunc(list, func(a, b change) int { return int(a.Revision - b.Revision) })
	return list
}
