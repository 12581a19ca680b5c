package attempt

import (
	"time"

	"shallotring.dev/protocol/wire"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/outcome"
)

// EventKind is the kind of an event.
type EventKind int

// Kinds of events.
const (
	// Started begins the request.
	Started EventKind = iota + 1
	// Placed carries the endpoint for the next try and the incarnation of its agent.
	Placed
	// NotPlaced means that no endpoint can take the request; Refusal states why.
	NotPlaced
	// Waited means that the backoff before a retry has passed.
	Waited
	// Intended carries the ledger's response, nil if the ledger could not be reached.
	Intended
	// NotSent means that no byte of the try was sent to its agent.
	NotSent
	// FrameArrived carries the next frame of the stream of the try.
	FrameArrived
	// StreamBroken means that the stream of the try failed before its last frame.
	StreamBroken
	// Settled carries the agent's response to Settle, nil if the agent could not be reached.
	Settled
	// DeadlinePassed means that the request's deadline has passed.
	DeadlinePassed
	// CallerDisconnected means that the caller has disconnected.
	CallerDisconnected
)

// Event is an input of Step.
type Event struct {
	Kind EventKind
	// Try is the try that the event belongs to, or zero. Events of earlier tries are ignored.
	Try         ident.Try
	Endpoint    ident.Endpoint
	Incarnation ident.Incarnation
	Refusal     *outcome.Refusal
	Intent      *wire.IntendResponse
	Frame       *wire.Frame
	Settlement  *wire.SettleResponse
	// Detail describes a failure for the timeline.
	Detail string
}

// CommandKind is the kind of a command.
type CommandKind int

// Kinds of commands.
const (
	// Place requests an endpoint that is not in Exclude.
	Place CommandKind = iota + 1
	// Wait requests a Waited event after the duration Wait.
	Wait
	// Intend requests a grant from the ledger to dispatch the try.
	Intend
	// Dispatch sends the try to its agent.
	Dispatch
	// Settle closes the stream of the try, cancels the try and queries its agent for its state. A try that has not started
	// never starts afterwards.
	Settle
	// Cancel cancels a try whose result is no longer needed, without waiting for a response.
	Cancel
	// Deliver sends Data to the caller.
	Deliver
	// Conclude records the outcome of the try in the ledger.
	Conclude
	// Finish ends the request with the Result.
	Finish
)

// Command is an output of Step. The caller of Step carries out the commands in the order of the slice.
type Command struct {
	Kind     CommandKind
	Try      ident.TryID
	Endpoint ident.Endpoint
	Exclude  []ident.Endpoint
	Wait     time.Duration
	Data     []byte
	// Last marks data that completes the verified response.
	Last    bool
	Outcome outcome.Outcome
	Answer  *wire.Answer
	Result  *Result
	// Detail states why a try is settled.
	Detail string
	// Damaged is set on Settle if a frame of the try failed verification.
	Damaged bool
}

// Proof states how it is known that a request did not run.
type Proof string

// The only grounds on which a request is reported as not run.
const (
	// NothingDispatched means that no try was sent to any agent.
	NothingDispatched Proof = "nothing-dispatched"
	// NoByteSent means that the connection to the agent failed before any byte of the try was sent.
	NoByteSent Proof = "no-byte-sent"
	// AgentRefused means that the agent refused the try, which guarantees that it never starts.
	AgentRefused Proof = "agent-refused"
	// AgentTombstoned means that the agent never started the try and has recorded a tombstone, so that it refuses the try
	// from then on.
	AgentTombstoned Proof = "agent-tombstoned"
	// AgentNotRun means that the agent accepted the try and reported that it did not run.
	AgentNotRun Proof = "agent-not-run"
)

// Failure states why a request did not complete.
type Failure string

// Failures of a request.
const (
	// Refused means that the placement, the agent or the ledger refused the request.
	Refused Failure = "refused"
	// Rejected means that the request was invalid; it is never tried.
	Rejected Failure = "rejected"
	// Expired means that the deadline passed.
	Expired Failure = "deadline"
	// Abandoned means that the caller disconnected.
	Abandoned Failure = "caller-gone"
	// Broken means that the stream of a try failed before its last frame or was damaged.
	Broken Failure = "broken-stream"
	// KeyInProgress means that another request with the same key is in progress.
	KeyInProgress Failure = "key-in-progress"
	// KeyMismatch means that the key was used before with another body.
	KeyMismatch Failure = "key-mismatch"
	// KeyExpired means that the time in the key is older than the retention of keys.
	KeyExpired Failure = "key-expired"
	// KeyUnknown means that an earlier request with the key may have run.
	KeyUnknown Failure = "key-unknown"
)

// Result describes how a request finished.
type Result struct {
	Outcome outcome.Outcome
	// Failure is empty for a completed request.
	Failure Failure
	// Proof is set if and only if the outcome is not-run.
	Proof Proof
	// Refusal is set for a refused request.
	Refusal *outcome.Refusal
	// Replay is a stored response to deliver: recorded by the ledger for an earlier request with the key, or stored by the
	// agent of a try whose stream failed.
	Replay *wire.Answer
	// DeliveryStarted reports whether a byte of the response has been delivered.
	DeliveryStarted bool
	// End is the last frame of a completed request.
	End    *wire.End
	Detail string
}
