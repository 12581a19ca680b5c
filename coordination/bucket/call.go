package bucket

import (
	"context"

	"github.com/twitchtv/twirp"

	"shallotring.dev/coordination/registry"
	"shallotring.dev/protocol/wire"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/ledger"
)

// Server serves the Intend and Conclude calls of other entries; it never forwards them.
type Server struct{ owner *Owner }

// Server returns the server of the two calls of the entry service that belong to the ledger.
func (o *Owner) Server() *Server { return &Server{owner: o} }

// Intend records, for another entry, the intent to dispatch a try.
func (s *Server) Intend(ctx context.Context, r *wire.IntendRequest) (*wire.IntendResponse, error) {
	if r.GetCaller() == "" || r.GetKey() == "" || r.GetID().GetRequestID() == "" {
		return nil, twirp.InvalidArgumentError("Key", "caller, key and request id are required")
	}
	return s.owner.intendLocal(ctx, Of(r.Caller, r.Key), r), nil
}

// Conclude records, for another entry, the outcome of a try.
func (s *Server) Conclude(ctx context.Context, r *wire.ConcludeRequest) (*wire.ConcludeResponse, error) {
	if r.GetCaller() == "" || r.GetKey() == "" || r.GetID().GetRequestID() == "" {
		return nil, twirp.InvalidArgumentError("Key", "caller, key and request id are required")
	}
	return s.owner.concludeLocal(ctx, Of(r.Caller, r.Key), r), nil
}

// Intend records the intent to dispatch a try, here or at the owner of its bucket. It returns an error only for an
// invalid request; where no owner can be reached the state is INTENT_STATE_UNAVAILABLE.
func (o *Owner) Intend(ctx context.Context, r *wire.IntendRequest) (*wire.IntendResponse, error) {
	if r.GetCaller() == "" || r.GetKey() == "" || r.GetID().GetRequestID() == "" {
		return nil, twirp.InvalidArgumentError("Key", "caller, key and request id are required")
	}
	n := Of(r.Caller, r.Key)
	var response *wire.IntendResponse
	o.callOwner(n, func(to registry.ProcessRecord) (next string) {
		if to.Process == o.self.Process {
			response = o.intendLocal(ctx, n, r)
		} else {
			response = o.forwardIntend(ctx, to, r)
		}
		if response.State != wire.IntentState_INTENT_STATE_NOT_OWNER {
			return ""
		}
		return response.Owner
	})
	if response == nil || response.State == wire.IntentState_INTENT_STATE_NOT_OWNER {
		response = unavailable()
	}
	o.countRefusal(response.State)
	return response, nil
}

// Conclude records the outcome of a try, here or at the owner of its bucket. An outcome that is not recorded may be
// sent again; if it is not, the try is settled with its agent.
func (o *Owner) Conclude(ctx context.Context, r *wire.ConcludeRequest) (*wire.ConcludeResponse, error) {
	if r.GetCaller() == "" || r.GetKey() == "" || r.GetID().GetRequestID() == "" {
		return nil, twirp.InvalidArgumentError("Key", "caller, key and request id are required")
	}
	n := Of(r.Caller, r.Key)
	response := &wire.ConcludeResponse{}
	o.callOwner(n, func(to registry.ProcessRecord) (next string) {
		if to.Process == o.self.Process {
			response = o.concludeLocal(ctx, n, r)
		} else {
			response = o.forwardConclude(ctx, to, r)
		}
		return response.Owner
	})
	return response, nil
}

// callOwner calls the owner of a bucket and then, once, the process that this owner names instead.
func (o *Owner) callOwner(n int, call func(to registry.ProcessRecord) (next string)) {
	to, ok := o.chosenEntry(n)
	if o.drivers[n].owned.Load() {
		to, ok = o.self, true
	}
	if !ok {
		return
	}
	next := call(to)
	if next == "" {
		return
	}
	for _, p := range append(o.liveEntries(), o.self) {
		if string(p.Process) == next {
			call(p)
			return
		}
	}
}

func (o *Owner) forwardIntend(parent context.Context, to registry.ProcessRecord, r *wire.IntendRequest) *wire.IntendResponse {
	ctx, cancel := o.withForwardTimeout(parent)
	defer cancel()
	response, err := o.entryClient(to.Address).Intend(ctx, r)
	if err != nil {
		return unavailable()
	}
	return response
}

func (o *Owner) forwardConclude(parent context.Context, to registry.ProcessRecord, r *wire.ConcludeRequest) *wire.ConcludeResponse {
	ctx, cancel := o.withForwardTimeout(parent)
	defer cancel()
	response, err := o.entryClient(to.Address).Conclude(ctx, r)
	if err != nil {
		return &wire.ConcludeResponse{}
	}
	return response
}

// withForwardTimeout leaves the owner enough time to take over a bucket and to settle a try with its agent.
func (o *Owner) withForwardTimeout(parent context.Context) (ctx context.Context, end context.CancelFunc) {
	o.counters.forwards.Inc()
	return o.withTimeout(parent, 4*o.callTimeout)
}

func (o *Owner) intendLocal(ctx context.Context, n int, r *wire.IntendRequest) *wire.IntendResponse {
	reply, ok := o.drivers[n].call(ctx, func(t ledger.Token) ledger.Event {
		return ledger.Intend{
			Token: t, Caller: ident.Caller(r.Caller), Key: ident.Key(r.Key), Digest: r.BodyDigest,
			ID: r.ID.Ident(), Endpoint: ident.Endpoint(r.Endpoint),
		}
	}).(ledger.IntendReply)
	if !ok {
		return unavailable()
	}
	response := intendResponse(reply)
	if response.State == wire.IntentState_INTENT_STATE_NOT_OWNER {
		response.Owner = o.nextOwner(n, response.Owner)
	}
	return response
}

func (o *Owner) concludeLocal(ctx context.Context, n int, r *wire.ConcludeRequest) *wire.ConcludeResponse {
	reply, ok := o.drivers[n].call(ctx, func(t ledger.Token) ledger.Event {
		return ledger.Conclude{
			Token: t, Caller: ident.Caller(r.Caller), Key: ident.Key(r.Key), ID: r.ID.Ident(),
			Outcome: r.Outcome.AsOutcome(), Answer: ledgerAnswer(r.Answer),
		}
	}).(ledger.ConcludeReply)
	if !ok {
		return &wire.ConcludeResponse{}
	}
	response := &wire.ConcludeResponse{Recorded: reply.Recorded}
	if reply.NotOwner {
		response.Owner = o.nextOwner(n, string(reply.Owner))
	}
	return response
}

// nextOwner returns the entry to call after this one: the owner in the stored value if it is live, else the entry that
// rendezvous hashing chooses.
func (o *Owner) nextOwner(n int, stored string) string {
	for _, p := range o.liveEntries() {
		if string(p.Process) == stored && stored != string(o.self.Process) {
			return stored
		}
	}
	if chosen, ok := o.chosenEntry(n); ok {
		return string(chosen.Process)
	}
	return ""
}

func (o *Owner) countRefusal(s wire.IntentState) {
	name := map[wire.IntentState]string{
		wire.IntentState_INTENT_STATE_UNAVAILABLE: "unavailable",
		wire.IntentState_INTENT_STATE_IN_PROGRESS: "in-progress",
		wire.IntentState_INTENT_STATE_UNKNOWN:     "unknown",
		wire.IntentState_INTENT_STATE_MISMATCH:    "mismatch",
		wire.IntentState_INTENT_STATE_EXPIRED:     "expired",
	}[s]
	if c := o.counters.refusals[name]; c != nil {
		c.Inc()
	}
}

func unavailable() *wire.IntendResponse {
	return &wire.IntendResponse{
		State:           wire.IntentState_INTENT_STATE_UNAVAILABLE,
		RetryAfterMilli: unavailableRetryAfter.Milliseconds(),
	}
}
