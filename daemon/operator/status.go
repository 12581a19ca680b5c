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
	"shallotring.dev/protocol/roundtrip"
	"shallotring.dev/protocol/wire"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/resource"
)

const (
	// queryTimeout limits one InForce call, so that unreachable processes do not delay the result for the others.
	queryTimeout = 2 * time.Second
	// maxParallelQueries limits the InForce calls in flight.
	maxParallelQueries = 32
	// pollInterval is the time between two polls while a command waits, and between two attempts to restart a watch.
	pollInterval = 500 * time.Millisecond
)

// processState is the configuration that one live process reports.
type processState struct {
	Process    ident.Process
	Role       registry.Role
	Zone       ident.Zone
	Generation ident.Revision
	// Reason says why the newest configuration is not in force, or why the process could not be queried.
	Reason string `json:",omitempty"`
}

// processClient calls entries and agents.
type processClient struct {
	http   *http.Client
	scheme string
}

// processClient returns a client for entries and agents, and a function that closes its idle connections.
func (s *session) processClient() (f *processClient, closeClient func(), err error) {
	t, err := s.transport()
	if err != nil {
		return nil, nil, err
	}
	f = &processClient{http: &http.Client{Transport: roundtrip.New(t)}, scheme: "http://"}
	if s.usesTLS() {
		f.scheme = "https://"
	}
	return f, t.CloseIdleConnections, nil
}

// liveProcesses returns all processes with a presence record, and the agents that have a claim but no presence record.
func liveProcesses(v *registry.View) (list []registry.ProcessRecord) {
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

// queryAll queries all processes and returns their states in the order of the list.
func (f *processClient) queryAll(ctx context.Context, list []registry.ProcessRecord) (states []processState) {
	states = make([]processState, len(list))
	semaphore := make(chan struct{}, maxParallelQueries)
	var wg sync.WaitGroup
	for i, p := range list {
		wg.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			states[i] = f.query(ctx, p)
		})
	}
	wg.Wait()
	return states
}

func (f *processClient) query(ctx context.Context, p registry.ProcessRecord) (s processState) {
	s = processState{Process: p.Process, Role: p.Role, Zone: p.Zone}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	response, err := f.inForce(ctx, p)
	switch {
	case err != nil:
		s.Reason = "no response: " + err.Error()
	case ident.Process(response.Process) != p.Process:
		// Another process may have the address now, and its configuration says nothing about this process.
		s.Reason = "the address belongs to process " + response.Process
	default:
		s.Generation, s.Reason = ident.Revision(response.Generation), response.Failure
	}
	return s
}

func (f *processClient) inForce(ctx context.Context, p registry.ProcessRecord) (response *wire.InForceResponse, err error) {
	if p.Role == registry.RoleEntry {
		return wire.NewEntryProtobufClient(f.scheme+p.Address, f.http).InForce(ctx, &wire.InForceRequest{})
	}
	return wire.NewAgentProtobufClient(f.scheme+p.Address, f.http).InForce(ctx, &wire.InForceRequest{})
}

// States of a resource.
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
	// InForce is the number of processes that have the revision in force, out of Live live processes.
	InForce int
	Live    int
	// Lacking lists the live processes that do not have the revision in force.
	Lacking []processState `json:",omitempty"`
	Reason  string         `json:",omitempty"`
}

// newResourceState returns the state of a revision of a resource, given the states of all live processes.
func newResourceState(n resource.Name, revision ident.Revision, states []processState) (r resourceState) {
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
		r.Reason = "no live process is registered"
	case r.InForce == r.Live:
		r.State = stateAccepted
	default:
		r.Reason = describeLacking(r.Lacking)
	}
	return r
}

// maxLackingShown limits the processes that a table names; JSON names all of them.
const maxLackingShown = 5

// describeLacking lists processes with the reason why each lacks a revision.
func describeLacking(list []processState) string {
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

func (r resourceState) inForceCount() string { return fmt.Sprintf("%d of %d", r.InForce, r.Live) }

type statusCommand struct {
	Resource  string `arg:"" optional:"" help:"Kind or Kind/name; all resources by default."`
	Processes bool   `help:"Show the live processes instead of the resources."`
}

// Help returns the details of the command.
func (*statusCommand) Help() string {
	return `A change is "written" once it is stored and "accepted" once each live process has it in force.
Until then the table names the processes that lack it, with the reason. A process that has stopped counts as live
until its lease ends. The exit code is 6 if a shown resource is not accepted.`
}

// Run shows the status.
func (c *statusCommand) Run(ctx context.Context, s *session) (err error) {
	g := getCommand{Resource: c.Resource}
	selector, err := g.selector()
	if err != nil {
		return err
	}
	client, closeClient, err := s.client()
	if err != nil {
		return err
	}
	defer closeClient()
	ctx, cancel := s.withTimeout(ctx)
	defer cancel()
	set, err := s.readSelected(ctx, client, selector)
	if err != nil {
		return err
	}
	states, err := s.processStates(ctx, client)
	if err != nil {
		return err
	}
	if c.Processes {
		return s.printProcesses(states)
	}
	list := selectResources(set, selector)
	if selector.Name != "" && len(list) == 0 {
		return eris.Wrap(errNotFound, selector.String())
	}
	return s.printStatus(list, states)
}

// processStates queries each live process once.
func (s *session) processStates(ctx context.Context, client *keyvalue.Client) (states []processState, err error) {
	v, err := s.registryView(ctx, client)
	if err != nil {
		return nil, err
	}
	f, closeClient, err := s.processClient()
	if err != nil {
		return nil, err
	}
	defer closeClient()
	return f.queryAll(ctx, liveProcesses(v)), nil
}

func (s *session) printStatus(list []declaredResource, states []processState) (err error) {
	rows, values := make([][]string, len(list)), make([]any, len(list))
	notAccepted := 0
	for i, d := range list {
		r := newResourceState(resource.Name{Kind: d.Kind, Name: d.Name}, d.Revision, states)
		if r.State != stateAccepted {
			notAccepted++
		}
		rows[i] = []string{string(r.Kind) + "/" + r.Name, fmt.Sprint(r.Revision), r.State, r.inForceCount(), r.Reason}
		values[i] = r
	}
	if err = s.print("RESOURCE REVISION STATE INFORCE REASON", rows, values); err != nil {
		return err
	}
	if notAccepted > 0 {
		return eris.Wrapf(errNotInForce, "%d of %d resources", notAccepted, len(list))
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

// waitAccepted polls the live processes until the newest of the changes, and with it all of them, is accepted, or until the
// timeout.
func (s *session) waitAccepted(ctx context.Context, client *keyvalue.Client, changes []change, timeout time.Duration) (err error) {
	var newest change
	for _, c := range changes {
		if c.Revision >= newest.Revision {
			newest = c
		}
	}
	timer := s.clock.NewTimer(timeout)
	defer timer.Stop()
	t := s.clock.NewTicker(pollInterval)
	defer t.Stop()
	for {
		// The timeout does not interrupt a poll, so that the error always has the reason of the last poll.
		states, err := s.pollStates(ctx, client)
		if err != nil {
			return err
		}
		r := newResourceState(resource.Name{Kind: newest.Kind, Name: newest.Name}, newest.Revision, states)
		if r.State == stateAccepted {
			newest.Action, newest.InForce = actionAccepted, r.inForceCount()
			return s.printChanges("", []change{newest})
		}
		select {
		case <-t.C:
		case <-timer.C:
			return eris.Wrapf(errNotInForce, "revision %d is in force at %s live processes: %s", newest.Revision, r.inForceCount(), r.Reason)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// pollStates calls processStates with the time limit of one command.
func (s *session) pollStates(ctx context.Context, client *keyvalue.Client) (states []processState, err error) {
	ctx, cancel := s.withTimeout(ctx)
	defer cancel()
	return s.processStates(ctx, client)
}
