package wire

import (
	"shallotring.dev/state/ident"
	"shallotring.dev/state/outcome"
)

// NewTryID converts a try id to its message.
func NewTryID(t ident.TryID) *TryID {
	return &TryID{RequestID: string(t.RequestID), Try: uint32(t.Try), Incarnation: int64(t.Incarnation)}
}

// Ident converts the message to a try id.
func (x *TryID) Ident() ident.TryID {
	return ident.TryID{
		RequestID:   ident.RequestID(x.GetRequestID()),
		Try:         ident.Try(x.GetTry()),
		Incarnation: ident.Incarnation(x.GetIncarnation()),
	}
}

// NewOutcome converts an outcome to its message.
func NewOutcome(o outcome.Outcome) Outcome {
	switch o {
	case outcome.Completed:
		return Outcome_OUTCOME_COMPLETED
	case outcome.NotRun:
		return Outcome_OUTCOME_NOT_RUN
	}
	return Outcome_OUTCOME_UNKNOWN
}

// AsOutcome converts the message to an outcome; unrecognized values become outcome.Unknown.
func (x Outcome) AsOutcome() outcome.Outcome {
	switch x {
	case Outcome_OUTCOME_COMPLETED:
		return outcome.Completed
	case Outcome_OUTCOME_NOT_RUN:
		return outcome.NotRun
	}
	return outcome.Unknown
}
