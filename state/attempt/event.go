package attempt

import (
	"time"

	"shallotring.dev/protocol/wire"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/outcome"
)

// EventKind tells events apart.
type EventKind int

// Kinds of events.
const (
	// Started begins the request.
	Started EventKind = iota + 1
	// Placed names the endpoint and the incarnation of its agent for the next try.
	Placed
	// NotPlaced says that no endpoint can take the request; Refusal says why.
	NotPlaced
	// Waited ends the backoff before a retry.
	Waited
	// Intended carries the ledger's response, nil if the ledger could not be reached.
	Intended
	// NotSent says that no byte of the try reached its agent.
	NotSent
	// FrameArrived carries the next frame of the stream of the try.
	FrameArrived
	// StreamBroken ends the stream of the try before its last frame.
	StreamBroken
	// Settled carries the agent's response to Settle, nil if the agent could not be reached.
	Settled
	// DeadlinePassed says that the request's deadline has passed.
	DeadlinePassed
	// CallerGone says that the caller has disconnected.
	CallerGone
)

// Event is one thing that happened to a request.
type Event struct {
	Kind EventKind
	// Try is the try that the event belongs to; events of earlier tries are ignored.
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

// CommandKind tells commands apart.
type CommandKind int

// Kinds of commands.
const (
	// Place asks for an endpoint outside Exclude.
	Place CommandKind = iota + 1
	// Wait asks for a Waited event after Wait.
	Wait
	// Intend asks the ledger for permission to dispatch the try.
	Intend
	// Dispatch sends the try to its agent.
	Dispatch
	// Settle asks the agent what became of the try, cancels it, and closes its stream.
	Settle
	// Cancel ends a try whose result is no longer wanted; no response is awaited.
	Cancel
	// Deliver sends Data to the caller.
	Deliver
	// Conclude records the outcome of the try in the ledger.
	Conclude
	// Finish ends the request with the Result.
	Finish
)

// Command is one thing that the caller of Step has to do, in the order given.
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
	// Detail says why a try is settled; Damaged is set if one of its frames failed the checks.
	Detail  string
	Damaged bool
}

// Proof says how it is known that a request did not run.
type Proof string

// The only grounds on which a request is reported as not run.
const (
	// NothingDispatched means that no try was sent to any agent.
	NothingDispatched Proof = "nothing-dispatched"
	// NoByteSent means that the connection to the agent failed before any byte of the try was sent.
	NoByteSent Proof = "no-byte-sent"
	// AgentRefused means that the agent refused the try, which guarantees that it never starts.
	AgentRefused Proof = "agent-refused"
	// AgentTombstoned means that the agent never started the try and refuses it from now on.
	AgentTombstoned Proof = "agent-tombstoned"
	// AgentNotRun means that the agent accepted the try and ended it as not run.
	AgentNotRun Proof = "agent-not-run"
)

// Failure says why a request did not complete.
type Failure string

// Failures of a request.
const (
	// Refused means that the endpoints, the placement or the ledger refused the request.
	Refused Failure = "refused"
	// Rejected means that the input of the request was refused before any try.
	Rejected Failure = "rejected"
	// Expired means that the deadline passed.
	Expired Failure = "deadline"
	// Abandoned means that the caller disconnected.
	Abandoned Failure = "caller-gone"
	// Broken means that the stream of a try ended early or was damaged.
	Broken Failure = "broken-stream"
	// KeyInProgress means that the key is being served by another request.
	KeyInProgress Failure = "key-in-progress"
	// KeyMismatch means that the key was used with another body.
	KeyMismatch Failure = "key-mismatch"
	// KeyExpired means that the key carries a time older than the retention of keys.
	KeyExpired Failure = "key-expired"
	// KeyUnknown means that an earlier request with the key may have run.
	KeyUnknown Failure = "key-unknown"
)

// Result is how a request ended.
type Result struct {
	Outcome outcome.Outcome
	// Failure is empty for a completed request.
	Failure Failure
	// Proof is set if and only if the outcome is not-run.
	Proof Proof
	// Refusal is set for a refused request.
	Refusal *outcome.Refusal
	// Replay is the recorded answer of the request that first used the key.
	Replay *wire.Answer
	// Started reports whether a byte of the response has been delivered.
	Started bool
	// End is the last frame of a completed request.
	End    *wire.End
	Detail string
}
