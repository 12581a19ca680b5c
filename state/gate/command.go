package gate

import (
	"time"

	"shallotring.dev/state/ident"
	"shallotring.dev/state/outcome"
)

// Command is one output of the gate.
type Command interface{ command() }

// Answer is the answer of a completed try with a key.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	// Truncated is set if the body was too large to keep.
	Truncated bool
	Adapter   ident.AdapterVersion
}

// Accept admits a try.
type Accept struct{ ID ident.TryID }

// Refuse says that a try has not run and never will.
type Refuse struct {
	ID      ident.TryID
	Refusal *outcome.Refusal
}

// Abandon ends a Run call without any promise about the try, which may have run by an earlier call.
type Abandon struct {
	ID     ident.TryID
	Reason outcome.Reason
}

// Start sends an admitted try to the endpoint.
type Start struct {
	ID      ident.TryID
	Adapter ident.AdapterVersion
	Stall   time.Duration
}

// Finish ends the stream of an admitted try.
type Finish struct {
	ID      ident.TryID
	Outcome outcome.Outcome
	// Refusal is set if the outcome is NotRun.
	Refusal *outcome.Refusal
	Detail  string
}

// Cancel stops a running try at the endpoint; Ended follows.
type Cancel struct{ ID ident.TryID }

// CancelRequest stops a request of an earlier agent by the engine's id of it.
type CancelRequest struct{ ID string }

// Load loads an adapter; LoadEnded with the same number follows.
type Load struct {
	Number  uint64
	Adapter ident.AdapterVersion
	Path    string
	Digest  string
}

// Unload evicts an adapter; UnloadEnded with the same number follows.
type Unload struct {
	Number  uint64
	Adapter ident.AdapterVersion
}

// AskPermits asks for load permits; Permits follows.
type AskPermits struct {
	Wanted int
	// Stalled is the summed waiting time of the tries that the next load lets go on, as Queue.NextLoad weighs it.
	Stalled time.Duration
}

// ReturnPermit reports that a load has ended.
type ReturnPermit struct{}

// Survey reads the start id, the loaded adapters and the running requests; Surveyed with the same number follows.
type Survey struct {
	Number uint64
	// Fence asks for a command without effect before the lists are read, so that the engine has seen the fencing number:
	// a former agent could otherwise start requests that the lists do not show. The survey fails if the command does.
	Fence bool
}

// TryState is the answer to Settle.
type TryState int

// States of a try.
const (
	// NeverStarted promises that the try has not started and never will.
	NeverStarted TryState = iota
	Running
	Completed
	Unknown
)

// Settled answers Settle.
type Settled struct {
	ID     ident.TryID
	State  TryState
	Answer *Answer
}

// Restarted reports that the engine has restarted.
type Restarted struct{ StartID ident.StartID }

// Drained reports that a drain is complete.
type Drained struct{}

// Guarantee names a guarantee of section 1.1 of the design.
type Guarantee string

// Guarantees that the gate asserts.
const (
	G1 Guarantee = "G1"
	G2 Guarantee = "G2"
	G4 Guarantee = "G4"
	G5 Guarantee = "G5"
	G6 Guarantee = "G6"
)

// Violation reports a failed assertion.
type Violation struct {
	Guarantee Guarantee
	ID        ident.TryID
	Adapter   ident.AdapterVersion
	Detail    string
	// Fatal is set where going on would break the guarantee; otherwise the gate has withheld the command.
	Fatal bool
}

func (Accept) command()        {}
func (Refuse) command()        {}
func (Abandon) command()       {}
func (Start) command()         {}
func (Finish) command()        {}
func (Cancel) command()        {}
func (CancelRequest) command() {}
func (Load) command()          {}
func (Unload) command()        {}
func (AskPermits) command()    {}
func (ReturnPermit) command()  {}
func (Survey) command()        {}
func (Settled) command()       {}
func (Restarted) command()     {}
func (Drained) command()       {}
func (Violation) command()     {}
