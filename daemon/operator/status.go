package operator

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"shallotring.dev/coordination/registry"
	"shallotring.dev/protocol/keyvalue"
	"shallotring.dev/protocol/wire"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/resource"
)

const (
	// askTimeout bounds one InForce call, so that processes that have died do not hold up the answer of the others.
	askTimeout = 2 * time.Second
	// askParallel bounds the calls in flight.
	askParallel = 32
	// awaitInterval is the time between two rounds of calls while a command waits.
	awaitInterval = 500 * time.Millisecond
)

// processState is what one live process answers.
type processState struct {
	Process    ident.Process
	Role       registry.Role
	Zone       ident.Zone
	Generation ident.Revision
	// Reason says why the newest configuration is not in force or why there is no answer.
	Reason string `json:",omitempty"`
}

// fleet asks the live processes for their configuration.
type fleet struct {
	http   *http.Client
	scheme string
}

func (s *session) fleet() (f *fleet, done func(), err error) {
	t, err := s.transport()
	if err != nil {
		return nil, nil, err
	}
	f = &fleet{http: &http.Client{Transport: t}, scheme: "http://"}
	if s.secure() {
		f.scheme = "https://"
	}
	return f, t.CloseIdleConnections, nil
}

// live returns all processes with a presence record, and the agents that have a claim but no presence record.
func live(v *registry.View) (list []registry.ProcessRecord) {
	list = v.Processes()
	seen := make(map[ident.Process]bool)
	for _, p := range list {
		seen[p.Process] = true
	}
	for _, c := range v.Claims() {
		if seen[c.Process] {
			continue
		}
		list = append(list, registry.ProcessRecord{
			Process: c.Process,
			Role:    registry.RoleAgent,
			Address: c.Address,
			Host:    c.Host,
			Zone:    c.Zone,
		})
	}
	return list
}

// ask returns the state of each process.
func (f *fleet) ask(ctx context.Context, list []registry.ProcessRecord) (states []processState) {
	states = make([]processState, len(list))
	slot := make(chan struct{}, askParallel)
	var wg sync.WaitGroup
	for i, p := range list {
		wg.Go(func() {
			slot <- struct{}{}
			defer func() { <-slot }()
			states[i] = f.askOne(ctx, p)
		})
	}
	wg.Wait()
	return states
}

func (f *fleet) askOne(ctx context.Context, p registry.ProcessRecord) (s processState) {
	s = processState{Process: p.Process, Role: p.Role, Zone: p.Zone}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	a, err := f.inForce(ctx, p)
	switch {
	case err != nil:
		s.Reason = "no answer: " + err.Error()
	case ident.Process(a.Process) != p.Process:
		// The address may have passed to another process whose configuration says nothing about this one.
		s.Reason = "address answers as " + a.Process
	default:
		s.Generation, s.Reason = ident.Revision(a.Generation), a.Failure
	}
	return s
}

func (f *fleet) inForce(ctx context.Context, p registry.ProcessRecord) (a *wire.InForceResponse, err error) {
	if p.Role == registry.RoleEntry {
		return wire.NewEntryProtobufClient(f.scheme+p.Address, f.http).InForce(ctx, &wire.InForceRequest{})
	}
	return wire.NewAgentProtobufClient(f.scheme+p.Address, f.http).InForce(ctx, &wire.InForceRequest{})
}

// States of a change.
const (
	stateWritten  = "written"
	stateAccepted = "accepted"
)

// resourceState is the status of one resource.
type resourceState struct {
	Kind     resource.Kind
	Name     string
	Revision ident.Revision
	State    string
	// InForce and Live are numbers of processes.
	InForce int
	Live    int
	// Lacking lists the live processes that do not have the revision.
	Lacking []processState `json:",omitempty"`
	Reason  string         `json:",omitempty"`
}

// judge says whether a revision is in force at each live process.
func judge(n resource.Name, revision ident.Revision, states []processState) (r resourceState) {
	r = resourceState{Kind: n.Kind, Name: n.Name, Revision: revision, State: stateWritten, Live: len(states)}
	for _, s := range states {
		if s.Generation >= revision {
			r.InForce++
			continue
		}
		if s.Reason == "" {
			s.Reason = fmt.Sprintf("at revision %d", s.Generation)
		}
		r.Lacking = append(r.Lacking, s)
	}
	switch {
	case r.Live == 0:
		r.Reason = "no live process is known"
	case r.InForce == r.Live:
		r.State = stateAccepted
	default:
		r.Reason = lacking(r.Lacking)
	}
	return r
}

// maxLackingShown bounds the processes named in a table; JSON names all.
const maxLackingShown = 5

func lacking(list []processState) string {
	var parts []string
	for i, s := range list {
		if i == maxLackingShown {
			parts = append(parts, fmt.Sprintf("and %d more", len(list)-i))
			break
		}
		parts = append(parts, fmt.Sprintf("%s (%s)", s.Process, s.Reason))
	}
	return strings.Join(parts, ", ")
}

func (r resourceState) inForce() string { return fmt.Sprintf("%d of %d", r.InForce, r.Live) }

type statusCommand struct {
	Resource  string `arg:"" optional:"" help:"Kind, or a resource as Kind/name; all resources without it."`
	Processes bool   `help:"Show the live processes in place of the resources."`
}

// Help returns the details of the command.
func (*statusCommand) Help() string {
	return `A change is "written" once it is stored and "accepted" once each live process has it in force.
Until then the table names the processes that lack it, with the reason. A process that has stopped leaves the list
when its lease ends. The exit code is 6 if a shown resource is not accepted.`
}

// Run shows the status.
func (c *statusCommand) Run(ctx context.Context, s *session) (err error) {
	g := getCommand{Resource: c.Resource}
	want, err := g.selection()
	if err != nil {
		return err
	}
	client, done, err := s.client()
	if err != nil {
		return err
	}
	defer done()
	ctx, cancel := s.bound(ctx)
	defer cancel()
	set, err := s.read(ctx, client, want)
	if err != nil {
		return err
	}
	states, err := s.states(ctx, client)
	if err != nil {
		return err
	}
	if c.Processes {
		return s.printProcesses(states)
	}
	list := selected(set, want)
	if want.Name != "" && len(list) == 0 {
		return eris.Wrap(errNotFound, want.String())
	}
	return s.printStatus(list, states)
}

// states asks each live process once.
func (s *session) states(ctx context.Context, client *keyvalue.Client) (states []processState, err error) {
	v, err := s.view(ctx, client)
	if err != nil {
		return nil, err
	}
	f, done, err := s.fleet()
	if err != nil {
		return nil, err
	}
	defer done()
	return f.ask(ctx, live(v)), nil
}

func (s *session) printStatus(list []declared, states []processState) (err error) {
	rows, values := make([][]string, len(list)), make([]any, len(list))
	missing := 0
	for i, d := range list {
		r := judge(resource.Name{Kind: d.Kind, Name: d.Name}, d.Revision, states)
		if r.State != stateAccepted {
			missing++
		}
		rows[i] = []string{string(r.Kind) + "/" + r.Name, fmt.Sprint(r.Revision), r.State, r.inForce(), r.Reason}
		values[i] = r
	}
	if err = s.print("RESOURCE REVISION STATE INFORCE REASON", rows, values); err != nil {
		return err
	}
	if missing > 0 {
		return eris.Wrapf(errNotInForce, "%d of %d resources", missing, len(list))
	}
	return nil
}

func (s *session) printProcesses(states []processState) (err error) {
	rows, values := make([][]string, len(states)), make([]any, len(states))
	for i, p := range states {
		rows[i] = []string{string(p.Process), string(p.Role), string(p.Zone), fmt.Sprint(p.Generation), p.Reason}
		values[i] = p
	}
	return s.print("PROCESS ROLE ZONE GENERATION REASON", rows, values)
}

// await asks the live processes until the changes are accepted or the time is over.
func (s *session) await(ctx context.Context, client *keyvalue.Client, changes []change, limit time.Duration) (err error) {
	var newest change
	for _, c := range changes {
		if c.Revision >= newest.Revision {
			newest = c
		}
	}
	end := s.clock.NewTimer(limit)
	defer end.Stop()
	t := s.clock.NewTicker(awaitInterval)
	defer t.Stop()
	for {
		// A round that has begun is finished, so that the reason is never empty.
		states, err := s.round(ctx, client)
		if err != nil {
			return err
		}
		r := judge(resource.Name{Kind: newest.Kind, Name: newest.Name}, newest.Revision, states)
		if r.State == stateAccepted {
			newest.Action, newest.InForce = actionAccepted, r.inForce()
			return s.printChanges("", []change{newest})
		}
		select {
		case <-t.C:
		case <-end.C:
			return eris.Wrapf(errNotInForce, "revision %d is in force at %s: %s", newest.Revision, r.inForce(), r.Reason)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (s *session) round(ctx context.Context, client *keyvalue.Client) (states []processState, err error) {
	ctx, cancel := s.bound(ctx)
	defer cancel()
	return s.states(ctx, client)
}
