package ledger

import "fmt"

// Invariant names a property of the ledger that must always hold.
type Invariant string

// Invariants.
const (
	// GrantDurable states that a try is granted only while its intent is the durable record of the key.
	GrantDurable Invariant = "grant-durable"
	// Transition states that a record changes only along allowed transitions.
	Transition Invariant = "transition"
	// SupersededRan states that a try that was settled as never started is not reported as completed later.
	SupersededRan Invariant = "superseded-try-ran"
	// EpochRises states that each takeover writes a larger epoch, so that the epoch read never decreases.
	EpochRises Invariant = "epoch-rises"
	// ValueLimit states that a value stays below the size limit of the key-value service.
	ValueLimit Invariant = "value-limit"
	// Readable states that a stored value can be decoded.
	Readable Invariant = "value-readable"
)

// InvariantError reports a violated invariant.
type InvariantError struct {
	Invariant Invariant
	Detail    string
}

// Error returns a message with the invariant and the detail.
func (e *InvariantError) Error() string {
	return fmt.Sprintf("ledger invariant %s violated: %s", e.Invariant, e.Detail)
}

// checkTransition returns an error if the record of a key may not change from old to next.
// previousSettled is set if the agent of the old try has reported that this try never starts.
func checkTransition(old *Record, next *Record, previousSettled bool) *InvariantError {
	if old == nil {
		return nil
	}
	sameTry := old.ID == next.ID
	allowed := false
	switch old.State {
	case Intent:
		allowed = sameTry && next.State != Intent || !sameTry && previousSettled
	case NotRun:
		allowed = !sameTry && next.State == Intent
	case Unknown:
		// The holder of the try may know more than the agent with which it was settled.
		allowed = sameTry && (next.State == Completed || next.State == NotRun)
	}
	if allowed {
		return nil
	}
	return &InvariantError{Transition, fmt.Sprintf("record changes from %s of %v to %s of %v", old.State, old.ID, next.State, next.ID)}
}
