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
	Resource string `arg:"" optional:"" help:"Kind, or a resource as Kind/name; all resources without it."`
}

// Run shows changes until the program is stopped.
func (w *watchCommand) Run(ctx context.Context, s *session) (err error) {
	g := getCommand{Resource: w.Resource}
	want, err := g.selection()
	if err != nil {
		return err
	}
	client, done, err := s.client()
	if err != nil {
		return err
	}
	defer done()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sets, ended := make(chan *resource.Set), make(chan error, 1)
	first, at, err := s.editor(client).ReadAll(ctx)
	if err != nil {
		return err
	}
	go func() { ended <- s.follow(ctx, client, first, at, sets) }()
	return s.showChanges(ctx, client, want, first, sets, ended)
}

// follow sends the configuration after each change; a watch that ends is replaced by a full read and a new watch.
func (s *session) follow(ctx context.Context, client *keyvalue.Client, set *resource.Set, at ident.Revision, sets chan<- *resource.Set) (err error) {
	for ctx.Err() == nil {
		err = client.Watch(ctx, registry.ConfigPrefix, at, func(changes []keyvalue.Change, now ident.Revision) error {
			at = max(at, now)
			if len(changes) == 0 {
				return nil
			}
			next, err := configuration.ApplyChanges(set, changes)
			if err != nil {
				return err
			}
			set = next
			return send(ctx, sets, set)
		})
		if !eris.Is(err, keyvalue.ErrCompacted) && !eris.Is(err, keyvalue.ErrUnavailable) {
			return err
		}
		t := s.clock.NewTimer(awaitInterval)
		select {
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
		if !eris.Is(err, keyvalue.ErrCompacted) {
			continue
		}
		next, now, err := s.editor(client).ReadAll(ctx)
		if err != nil {
			continue
		}
		set, at = next, now
		if err = send(ctx, sets, set); err != nil {
			return err
		}
	}
	return ctx.Err()
}

func send(ctx context.Context, sets chan<- *resource.Set, set *resource.Set) (err error) {
	select {
	case sets <- set:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// showChanges prints each change once when it is written and once when it is accepted.
func (s *session) showChanges(ctx context.Context, client *keyvalue.Client, want resource.Name, old *resource.Set, sets <-chan *resource.Set, ended <-chan error) (err error) {
	t := s.clock.NewTicker(awaitInterval)
	defer t.Stop()
	var pending []change
	heading := changeHeading
	for {
		var list []change
		select {
		case set := <-sets:
			list = differences(old, set, want)
			old = set
			pending = append(pending, list...)
		case <-t.C:
			list, pending = s.accepted(ctx, client, pending)
		case err = <-ended:
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

// accepted splits the changes into those in force at each live process and the rest.
func (s *session) accepted(ctx context.Context, client *keyvalue.Client, pending []change) (list, rest []change) {
	if len(pending) == 0 {
		return nil, nil
	}
	states, err := s.round(ctx, client)
	if err != nil {
		return nil, pending
	}
	for _, c := range pending {
		r := judge(resource.Name{Kind: c.Kind, Name: c.Name}, c.Revision, states)
		if r.State != stateAccepted {
			rest = append(rest, c)
			continue
		}
		c.Action, c.InForce = actionAccepted, r.inForce()
		list = append(list, c)
	}
	return list, rest
}

// differences lists the selected resources that changed between two configurations.
func differences(old, now *resource.Set, want resource.Name) (list []change) {
	for _, d := range selected(now, want) {
		n := resource.Name{Kind: d.Kind, Name: d.Name}
		if old.ResourceRevision(n) != d.Revision {
			list = append(list, change{Kind: d.Kind, Name: d.Name, Action: actionWritten, Revision: d.Revision})
		}
	}
	for _, d := range selected(old, want) {
		n := resource.Name{Kind: d.Kind, Name: d.Name}
		if _, ok := now.Get(n); !ok {
			list = append(list, change{Kind: d.Kind, Name: d.Name, Action: actionDeleted, Revision: now.ShardRevision(n)})
		}
	}
	slices.SortStableFunc(list, func(a, b change) int { return int(a.Revision - b.Revision) })
	return list
}
