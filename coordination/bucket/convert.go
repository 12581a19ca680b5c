package bucket

import (
	"shallotring.dev/protocol/wire"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/ledger"
)

func ledgerAnswer(a *wire.Answer) *ledger.Answer {
	if a == nil {
		return nil
	}
	return &ledger.Answer{
		Status: int(a.Status), ContentType: a.ContentType, Body: a.Body, Truncated: a.Truncated,
		RequestID: ident.RequestID(a.RequestID), Adapter: ident.Adapter(a.Adapter), Version: ident.Version(a.Version),
	}
}

func wireAnswer(a *ledger.Answer) *wire.Answer {
	if a == nil {
		return nil
	}
	return &wire.Answer{
		Status: int32(a.Status), ContentType: a.ContentType, Body: a.Body, Truncated: a.Truncated,
		RequestID: string(a.RequestID), Adapter: string(a.Adapter), Version: string(a.Version),
	}
}

func intendResponse(r ledger.IntendReply) *wire.IntendResponse {
	state := map[ledger.Decision]wire.IntentState{
		ledger.Granted:          wire.IntentState_INTENT_STATE_GRANTED,
		ledger.AlreadyCompleted: wire.IntentState_INTENT_STATE_COMPLETED,
		ledger.InProgress:       wire.IntentState_INTENT_STATE_IN_PROGRESS,
		ledger.MayHaveRun:       wire.IntentState_INTENT_STATE_UNKNOWN,
		ledger.Mismatch:         wire.IntentState_INTENT_STATE_MISMATCH,
		ledger.Unavailable:      wire.IntentState_INTENT_STATE_UNAVAILABLE,
		ledger.NotOwner:         wire.IntentState_INTENT_STATE_NOT_OWNER,
		ledger.Expired:          wire.IntentState_INTENT_STATE_EXPIRED,
	}[r.Decision]
	return &wire.IntendResponse{
		State: state, Answer: wireAnswer(r.Answer), Owner: string(r.Owner),
		RetryAfterMilli: r.RetryAfter.Milliseconds(), RequestID: string(r.RequestID),
	}
}

// tryState converts the response of an agent; an unknown state counts as no response.
func tryState(a *wire.SettleResponse) ledger.TryState {
	switch a.State {
	case wire.TryState_TRY_STATE_NEVER_STARTED:
		return ledger.TryNeverStarted
	case wire.TryState_TRY_STATE_RUNNING:
		return ledger.TryRunning
	case wire.TryState_TRY_STATE_COMPLETED:
		return completedState(a.Outcome)
	case wire.TryState_TRY_STATE_UNKNOWN:
		return ledger.TryUnknown
	default:
		return ledger.TryUnreachable
	}
}

func completedState(o wire.Outcome) ledger.TryState {
	switch o {
	case wire.Outcome_OUTCOME_COMPLETED:
		return ledger.TryCompleted
	case wire.Outcome_OUTCOME_NOT_RUN:
		return ledger.TryNeverStarted
	default:
		return ledger.TryUnknown
	}
}
