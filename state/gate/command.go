package gate

import (
	"time"

	"shallotring.dev/state/ident"
	"shallotring.dev/state/outcome"
)

// Command is one output of the gate. A command to the endpoint has the incarnation under which it was decided, which is its fencing number;
// that of Start is in the id of its try.
type Command interface{ command() }

// Answer is the response of a completed try with a key.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	// Truncated is set if the body was too large to store.
	Truncated bool
	Adapter   ident.AdapterVersion
}

// Accept admits a try.
type Accept struct{ ID ident.TryID }

// Refuse rejects a try and promises that it has not run and never will.
type Refuse struct {
	ID      ident.TryID
	Refusal *outcome.Refusal
}

// Abandon ends a Run call without any promise about the try, which may have run through an earlier call.
type Abandon struct {
	ID     ident.TryID
	Reason outcome.Reason
}

// Start sends an admitted try to the endpoint.
type Start struct {
	ID      ident.TryID
	Adapter ident.AdapterVersion
	// Stall is the time since the admission of the try.
	Stall time.Duration
}

// Finish closes the stream of an admitted try.
type Finish struct {
	ID      ident.TryID
	Outcome outcome.Outcome
	// Refusal is set if the outcome is NotRun.
	Refusal *outcome.Refusal
	Detail  string
}

// Cancel stops a running try at the endpoint, which may be of an earlier incarnation; Ended follows.
type Cancel struct {
	ID          ident.TryID
	Incarnation ident.Incarnation
}

// CancelRequest stops a request of a previous agent; ID is the id under which the engine lists it.
type CancelRequest struct {
	ID          string
	Incarnation ident.Incarnation
}

// Load loads an adapter; LoadEnded with the same number follows.
type Load struct {
	Number      uint64
	Incarnation ident.Incarnation
	Adapter     ident.AdapterVersion
	Path        string
	Digest      string
}

// Unload evicts an adapter; UnloadEnded with the same number follows.
type Unload struct {
	Number      uint64
	Incarnation ident.Incarnation
	Adapter     ident.AdapterVersion
}

// RequestPermits requests load permits; Permits follows.
type RequestPermits struct {
	Wanted int
	// Stalled is the stalled work that waits for the next load, as admission.Queue.NextLoad computes it.
	Stalled time.Duration
}

// ReturnPermit reports that a load has finished or failed, so that its permit is free again.
type ReturnPermit struct{}

// Survey reads the start id, the loaded adapters and the running requests; Surveyed with the same number follows.
type Survey struct {
	Number      uint64
	Incarnation ident.Incarnation
	// Fence requests a command without effect before the lists are read, so that the engine has seen the fencing number:
	// a previous agent could otherwise start requests that the lists do not show. The survey fails if the command does.
	Fence bool
}

// TryState is the state that Settled reports.
type TryState int

// States of a try.
const (
	// NeverStarted promises that the try has not started and never will.
	NeverStarted TryState = iota
	// Running tries wait or run.
	Running
	Completed
	// Unknown tries may have run.
	Unknown
)

// Settled is the response to Settle.
type Settled struct {
	ID     ident.TryID
	State  TryState
	Answer *Answer
}

// Restarted reports that the engine has restarted.
type Restarted struct{ StartID ident.StartID }

// Drained reports that a drain is complete.
type Drained struct{}

// Guarantee is the number of a guarantee in section 1.1 of the design.
type Guarantee string

// Guarantees that the gate asserts.
const (
	// G1: a try runs only on the declared weights of its adapter.
	G1 Guarantee = "G1"
	// G2: an adapter in use is not evicted.
	G2 Guarantee = "G2"
	// G4: a try that was reported as not run does not run.
	G4 Guarantee = "G4"
	// G5: a try runs at most once, and so do the tries of one idempotency key at this endpoint.
	G5 Guarantee = "G5"
	// G6: an endpoint that is leaving admits no try, and starts none after the grace period.
	G6 Guarantee = "G6"
)

// Violation reports a failed assertion.
type Violation struct {
	Guarantee Guarantee
	ID        ident.TryID
	Adapter   ident.AdapterVersion
	Detail    string
	// Fatal is set if the guarantee is already broken or continuing would break it; otherwise the gate has not sent the
	// command that would have broken it.
	Fatal bool
}

func (Accept) command()         {}
func (Refuse) command()         {}
func (Abandon) command()        {}
func (Start) command()          {}
func (Finish) command()         {}
func (Cancel) command()         {}
func (CancelRequest) command()  {}
func (Load) command()           {}
func (Unload) command()         {}
func (RequestPermits) command() {}
func (ReturnPermit) command()   {}
func (Survey) command()         {}
func (Settled) command()        {}
func (Restarted) command()      {}
func (Drained) command()        {}
func (Violation) command()      {}
