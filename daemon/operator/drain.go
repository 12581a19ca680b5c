package operator

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"shallotring.dev/coordination/configuration"
	"shallotring.dev/protocol/keyvalue"
	"shallotring.dev/protocol/wire"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/resource"
)

// maxLeavingWrites limits the attempts to set Leaving while other operators change the same resource.
const maxLeavingWrites = 5

type drainCommand struct {
	Endpoint string         `arg:"" help:"Name of the endpoint."`
	Wait     *time.Duration `help:"Wait up to this time until no request runs at the endpoint." placeholder:"DURATION"`
}

// Help returns the details of the command.
func (*drainCommand) Help() string {
	return `Sets Leaving in the Endpoint resource and notifies the agent directly. Requests in progress are finished.
To use the endpoint again, apply the resource with Leaving = false.`
}

// drainResult is the output of the command.
type drainResult struct {
	Endpoint ident.Endpoint
	Revision ident.Revision
	Process  ident.Process
	// Running is the number of requests still in progress.
	Running uint32
}

// Run drains the endpoint.
func (d *drainCommand) Run(ctx context.Context, s *session) (err error) {
	client, closeClient, err := s.client()
	if err != nil {
		return err
	}
	defer closeClient()
	callCtx, cancel := s.withTimeout(ctx)
	defer cancel()
	name := ident.Endpoint(d.Endpoint)
	result := drainResult{Endpoint: name}
	// The agent is looked up first, because that of an idle endpoint releases its claim as soon as Leaving is in force.
	agent, process, closeAgentClient, agentErr := s.agentClient(callCtx, client, name)
	if agentErr == nil {
		defer closeAgentClient()
	}
	if result.Revision, err = setLeaving(callCtx, s.editor(client), name); err != nil {
		return err
	}
	if agentErr != nil {
		return eris.Wrapf(agentErr, "Leaving is set at revision %d", result.Revision)
	}
	result.Process = process
	response, err := agent.Drain(callCtx, &wire.DrainRequest{})
	if err != nil {
		return eris.Wrapf(err, "Leaving is set at revision %d, but the call to the agent failed", result.Revision)
	}
	result.Running = response.Running
	if d.Wait != nil && result.Running > 0 {
		result.Running, err = s.waitDrained(ctx, agent, result.Running, *d.Wait)
	}
	row := []string{string(name), fmt.Sprint(result.Revision), string(process), fmt.Sprint(result.Running)}
	if printErr := s.print("ENDPOINT REVISION PROCESS RUNNING", [][]string{row}, []any{result}); printErr != nil {
		return printErr
	}
	return err
}

// setLeaving sets Leaving and returns the revision at which it is set. After a conflict with another operator's change it reads
// the resource again, so that the change is not lost.
func setLeaving(ctx context.Context, e *configuration.Editor, name ident.Endpoint) (revision ident.Revision, err error) {
	n := resource.Name{Kind: resource.KindEndpoint, Name: string(name)}
	for range maxLeavingWrites {
		r, revision, err := e.Read(ctx, n)
		if err != nil {
			return 0, err
		}
		old, ok := r.(*resource.Endpoint)
		if !ok {
			return 0, eris.Wrap(errNotFound, n.String())
		}
		if old.Leaving {
			return revision, nil
		}
		next := *old
		next.Leaving = true
		revision, err = e.Put(ctx, &next, revision)
		var conflict *configuration.Conflict
		if !errors.As(err, &conflict) {
			return revision, err
		}
	}
	return 0, eris.Errorf("set Leaving in %s: other operators changed it during each of %d attempts", n, maxLeavingWrites)
}

// agentClient returns a client for the agent that holds the claim on the endpoint.
func (s *session) agentClient(ctx context.Context, client *keyvalue.Client, name ident.Endpoint) (a wire.Agent, p ident.Process, closeClient func(), err error) {
	v, err := s.registryView(ctx, client)
	if err != nil {
		return nil, "", nil, err
	}
	claim, ok := v.Claim(name)
	if !ok {
		return nil, "", nil, eris.Wrapf(errNotFound, "no agent has claimed endpoint %s", name)
	}
	f, closeClient, err := s.processClient()
	if err != nil {
		return nil, "", nil, err
	}
	return wire.NewAgentProtobufClient(f.scheme+claim.Address, f.http), claim.Process, closeClient, nil
}

// waitDrained polls the agent until no request runs, or until the timeout, and returns the number of running requests.
func (s *session) waitDrained(ctx context.Context, agent wire.Agent, running uint32, timeout time.Duration) (remaining uint32, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	t := s.clock.NewTicker(pollInterval)
	defer t.Stop()
	for running > 0 {
		select {
		case <-t.C:
		case <-ctx.Done():
			return running, eris.Errorf("%d requests are still running", running)
		}
		if a, err := agent.Drain(ctx, &wire.DrainRequest{}); err == nil {
			running = a.Running
		}
	}
	return 0, nil
}
