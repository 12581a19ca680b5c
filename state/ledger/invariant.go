package ledger

import "fmt"

// Invariant names a rule that the ledger must never break.
type Invariant string

// Invariants.
const (
	// GrantDurable: a try is granted only while its intent is the durable record of the key.
	GrantDurable Invariant = "grant-durable"
	// Transition: a record changes only along allowed transitions.
	Transition Invariant = "transition"
	// SupersededRan: a try that was settled as never started is not reported as completed.
	SupersededRan Invariant = "superseded-try-ran"
	// EpochRises: a takeover writes a larger epoch.
	EpochRises Invariant = "epoch-rises"
	// ValueLimit: a value stays under the service's limit.
	ValueLimit Invariant = "value-limit"
	// Readable: a stored value can be decoded.
	Readable Invariant = "value-readable"
)

// InvariantError reports a broken invariant.
type InvariantError struct {
	Invariant Invariant
	Detail    string
}

// Error names the invariant and the detail.
func (e *InvariantError) Error() string {
	return fmt.Sprintf("ledger invariant %s violated: %s", e.Invariant, e.Detail)
}

// checkTransition returns an error if the record of a key may not change from old to next.
// settled tells that the old intent's agent has said that it never starts the try.
func checkTransition(old *Record, next *Record, settled bool) *InvariantError {
	if old == nil {
		return nil
	}
	same := old.ID == next.ID
	allowed := false
	switch old.State {
	case Intent:
		allowed = same && next.State != Intent || !same && settled
	case NotRun:
		allowed = !same && next.State == Intent
	case Unknown:
		allowed = same && next.State == Completed
	}
	if allowed {
		return nil
	}
	return &InvariantError{Transition, fmt.Sprintf("%s of %v to %s of %v", old.State, old.ID, next.State, next.ID)}
}
