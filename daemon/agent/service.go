package agent

import (
	"context"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/twitchtv/twirp"

	"shallotring.dev/coordination/registry"
	"shallotring.dev/protocol/wire"
	"shallotring.dev/state/gate"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/outcome"
	"shallotring.dev/transport/timeline"
)

// RunPath is the path that accepts tries.
const RunPath = "/run"

func (a *Agent) handler() http.Handler {
	r := chi.NewRouter()
	r.Post(RunPath, a.run)
	s := wire.NewAgentServer(&service{agent: a})
	r.Mount(s.PathPrefix(), s)
	return r
}

// service implements the unary calls of entries and of the command line.
type service struct{ agent *Agent }

// Settle returns the state of a try and, if it completed, its response. A try that has not started
// before the call never starts.
func (s *service) Settle(ctx context.Context, r *wire.SettleRequest) (resp *wire.SettleResponse, err error) {
	id := r.GetID().Ident()
	commands, err := s.agent.submit(ctx, gate.Settle{ID: id, Cancel: r.GetCancel()}, nil)
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	for _, c := range commands {
		if x, ok := c.(gate.Settled); ok {
			resp = settleResponse(id, x)
		}
	}
	s.agent.log.Event(timeline.Event{
		Kind: timeline.TrySettled, RequestID: id.RequestID, Try: id.Try, Incarnation: id.Incarnation,
		Endpoint: s.agent.settings.Endpoint, Detail: resp.GetState().String(),
	})
	return resp, nil
}

// Report returns the load of the endpoint.
func (s *service) Report(ctx context.Context, _ *wire.ReportRequest) (resp *wire.ReportResponse, err error) {
	var r gate.Report
	if err = s.agent.readGate(ctx, func(g *gate.Gate) { r = g.Report() }); err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	resp = &wire.ReportResponse{
		Endpoint:    string(s.agent.settings.Endpoint),
		Incarnation: int64(r.Incarnation),
		Leaving:     r.Leaving,
		Running:     uint32(r.Running),
		Queued:      uint32(r.Queued),
		BatchSize:   uint32(r.BatchSize),
		Slots:       uint32(r.Slots),
		Generation:  int64(s.agent.configuration.Generation()),
		QueueMilli:  r.Wait.Milliseconds(),
		Pinned:      uint32(r.Pinned),
	}
	for _, x := range r.Adapters {
		resp.Adapters = append(resp.Adapters, &wire.AdapterState{
			Adapter: string(x.Adapter.Adapter), Version: string(x.Adapter.Version),
			Loading: x.Loading, Running: uint32(x.Running), Failing: x.Failing,
		})
	}
	return resp, nil
}

// Drain starts a drain and returns the number of tries in progress.
func (s *service) Drain(ctx context.Context, _ *wire.DrainRequest) (resp *wire.DrainResponse, err error) {
	s.agent.drain("the Drain method was called")
	var r gate.Report
	if err = s.agent.readGate(ctx, func(g *gate.Gate) { r = g.Report() }); err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return &wire.DrainResponse{Running: uint32(r.Running + r.Queued)}, nil
}

// InForce returns the revision up to which all changes of the configuration are in force and, if requested, the age of the last
// contact with the key-value service.
func (s *service) InForce(ctx context.Context, r *wire.InForceRequest) (resp *wire.InForceResponse, err error) {
	resp = &wire.InForceResponse{
		Process: string(s.agent.process), Role: string(registry.RoleAgent), Generation: int64(s.agent.configuration.Generation()),
		Failure: s.agent.configuration.Failure(),
	}
	if r.GetContact() {
		var age time.Duration
		if age, resp.Confirmed, err = s.agent.claim.ContactAge(ctx); err != nil {
			return nil, twirp.NewError(twirp.Unavailable, err.Error())
		}
		if resp.Confirmed {
			// The age is rounded up, so that a contact never appears newer than it is.
			resp.ContactAgeMilli = age.Milliseconds() + 1
		}
	}
	return resp, nil
}

func wireRefusal(r *outcome.Refusal) *wire.Refusal {
	return &wire.Refusal{Reason: string(r.Reason), RetryAfterMilli: r.RetryAfter.Milliseconds(), Detail: r.Detail}
}

func settleResponse(id ident.TryID, x gate.Settled) *wire.SettleResponse {
	switch x.State {
	case gate.NeverStarted:
		return &wire.SettleResponse{State: wire.TryState_TRY_STATE_NEVER_STARTED}
	case gate.Running:
		return &wire.SettleResponse{State: wire.TryState_TRY_STATE_RUNNING}
	case gate.Completed:
		resp := &wire.SettleResponse{State: wire.TryState_TRY_STATE_COMPLETED, Outcome: wire.Outcome_OUTCOME_COMPLETED}
		if x.Answer != nil {
			resp.Answer = &wire.Answer{
				Status: int32(x.Answer.Status), ContentType: x.Answer.ContentType, Body: x.Answer.Body, Truncated: x.Answer.Truncated,
				RequestID: string(id.RequestID), Adapter: string(x.Answer.Adapter.Adapter), Version: string(x.Answer.Adapter.Version),
			}
		}
		return resp
	}
	return &wire.SettleResponse{State: wire.TryState_TRY_STATE_UNKNOWN}
}
