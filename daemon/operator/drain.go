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

// drainAttempts bounds the writes of Leaving against other operators who change the same resource.
const drainAttempts = 5

type drainCommand struct {
	Endpoint string         `arg:"" help:"Name of the endpoint."`
	Wait     *time.Duration `help:"Wait until no request runs at the endpoint, at most for this time." placeholder:"DURATION"`
}

// Help returns the details of the command.
func (*drainCommand) Help() string {
	return `Sets Leaving in the Endpoint resource and tells the agent at once. Requests in progress are finished.
To take the endpoint back, apply the resource with Leaving = false.`
}

// drained is the result of the command.
type drained struct {
	Endpoint ident.Endpoint
	Revision ident.Revision
	Process  ident.Process
	// Running is the number of requests still in progress.
	Running uint32
}

// Run drains the endpoint.
func (d *drainCommand) Run(ctx context.Context, s *session) (err error) {
	client, done, err := s.client()
	if err != nil {
		return err
	}
	defer done()
	call, cancel := s.bound(ctx)
	defer cancel()
	name := ident.Endpoint(d.Endpoint)
	result := drained{Endpoint: name}
	if result.Revision, err = leave(call, s.editor(client), name); err != nil {
		return err
	}
	agent, process, stop, err := s.agent(call, client, name)
	if err != nil {
		return eris.Wrapf(err, "Leaving is set at revision %d", result.Revision)
	}
	defer stop()
	result.Process = process
	answer, err := agent.Drain(call, &wire.DrainRequest{})
	if err != nil {
		return eris.Wrapf(err, "Leaving is set at revision %d, but the agent does not answer", result.Revision)
	}
	result.Running = answer.Running
	if d.Wait != nil && result.Running > 0 {
		result.Running, err = s.awaitDrained(ctx, agent, result.Running, *d.Wait)
	}
	row := []string{string(name), fmt.Sprint(result.Revision), string(process), fmt.Sprint(result.Running)}
	if printed := s.print("ENDPOINT REVISION PROCESS RUNNING", [][]string{row}, []any{result}); printed != nil {
		return printed
	}
	return err
}

// leave sets Leaving. Another operator's change is kept: the resource is read again and only Leaving is set.
func leave(ctx context.Context, e *configuration.Editor, name ident.Endpoint) (at ident.Revision, err error) {
	n := resource.Name{Kind: resource.KindEndpoint, Name: string(name)}
	for range drainAttempts {
		r, at, err := e.Read(ctx, n)
		if err != nil {
			return 0, err
		}
		old, ok := r.(*resource.Endpoint)
		if !ok {
			return 0, eris.Wrap(errNotFound, n.String())
		}
		if old.Leaving {
			return at, nil
		}
		next := *old
		next.Leaving = true
		at, err = e.Put(ctx, &next, at)
		var conflict *configuration.Conflict
		if !errors.As(err, &conflict) {
			return at, err
		}
	}
	return 0, eris.Errorf("%s: other operators changed it during each of %d attempts", n, drainAttempts)
}

// agent returns the client of the process that holds the claim on the endpoint.
func (s *session) agent(ctx context.Context, client *keyvalue.Client, name ident.Endpoint) (a wire.Agent, p ident.Process, done func(), err error) {
	v, err := s.view(ctx, client)
	if err != nil {
		return nil, "", nil, err
	}
	claim, ok := v.Claim(name)
	if !ok {
		return nil, "", nil, eris.Wrapf(errNotFound, "no agent holds endpoint %s", name)
	}
	f, done, err := s.fleet()
	if err != nil {
		return nil, "", nil, err
	}
	return wire.NewAgentProtobufClient(f.scheme+claim.Address, f.http), claim.Process, done, nil
}

func (s *session) awaitDrained(ctx context.Context, agent wire.Agent, running uint32, limit time.Duration) (left uint32, err error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	t := s.clock.NewTicker(awaitInterval)
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
