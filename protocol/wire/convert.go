package wire

import (
	"shallotring.dev/state/ident"
	"shallotring.dev/state/outcome"
)

// NewTryID returns the message of a try's id.
func NewTryID(t ident.TryID) *TryID {
	return &TryID{RequestID: string(t.RequestID), Try: uint32(t.Try), Incarnation: int64(t.Incarnation)}
}

// Ident returns the id that the message names.
func (x *TryID) Ident() ident.TryID {
	return ident.TryID{
		RequestID:   ident.RequestID(x.GetRequestID()),
		Try:         ident.Try(x.GetTry()),
		Incarnation: ident.Incarnation(x.GetIncarnation()),
	}
}

// NewOutcome returns the message of an outcome.
func NewOutcome(o outcome.Outcome) Outcome {
	switch o {
	case outcome.Completed:
		return Outcome_OUTCOME_COMPLETED
	case outcome.NotRun:
		return Outcome_OUTCOME_NOT_RUN
	}
	return Outcome_OUTCOME_UNKNOWN
}

// State returns the outcome that the message names; anything that is not understood is unknown.
func (x Outcome) State() outcome.Outcome {
	switch x {
	case Outcome_OUTCOME_COMPLETED:
		return outcome.Completed
	case Outcome_OUTCOME_NOT_RUN:
		return outcome.NotRun
	}
	return outcome.Unknown
}
