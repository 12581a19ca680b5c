package ledger

import (
	"time"

	"shallotring.dev/state/ident"
	"shallotring.dev/state/outcome"
)

// Token pairs a reply with its call.
type Token uint64

// Event is an input of Step.
type Event interface{ event() }

// Acquire asks the bucket to become the owner.
type Acquire struct {
	// IfReleased leaves the bucket alone unless its last owner has handed it over.
	IfReleased bool
}

// Release asks the bucket to hand over after the write in flight.
type Release struct{}

// Tick lets time pass; it drives retries, refusals of calls that wait too long, and settling.
type Tick struct{}

// ValueRead answers ReadValue.
type ValueRead struct {
	Sequence uint64
	// Failed is set if the service did not answer.
	Failed   bool
	Found    bool
	Value    []byte
	Revision ident.Revision
}

// SegmentsRead answers ReadSegments with the values in the order of the names.
type SegmentsRead struct {
	Sequence uint64
	Failed   bool
	Values   [][]byte
}

// WriteResult is what is known of a write.
type WriteResult int

// Results of a write.
const (
	Swapped WriteResult = iota
	Conflict
	// Lost means that the write may have taken effect.
	Lost
	// Down means that the write certainly had no effect.
	Down
)

// ValueWritten answers WriteValue.
type ValueWritten struct {
	WriteID  string
	Result   WriteResult
	Revision ident.Revision
}

// SegmentWritten answers WriteSegment.
type SegmentWritten struct {
	Name   string
	Stored bool
}

// Intend asks for the grant of one try.
type Intend struct {
	Token    Token
	Caller   ident.Caller
	Key      ident.Key
	Digest   []byte
	ID       ident.TryID
	Endpoint ident.Endpoint
}

// Conclude reports the outcome of one try.
type Conclude struct {
	Token   Token
	Caller  ident.Caller
	Key     ident.Key
	ID      ident.TryID
	Outcome outcome.Outcome
	Answer  *Answer
}

// TryState is what an agent says of a try.
type TryState int

// Answers of an agent.
const (
	// TryUnreachable means that the agent did not answer.
	TryUnreachable TryState = iota
	// TryNeverStarted means that the agent refuses the try from now on.
	TryNeverStarted
	TryRunning
	TryCompleted
	TryUnknown
)

// Settled answers AskAgent.
type Settled struct {
	Caller ident.Caller
	Key    ident.Key
	ID     ident.TryID
	State  TryState
	Answer *Answer
}

// ClaimRead answers CheckClaim.
type ClaimRead struct {
	Caller      ident.Caller
	Key         ident.Key
	ID          ident.TryID
	Failed      bool
	Found       bool
	Incarnation ident.Incarnation
}

func (Acquire) event()        {}
func (Release) event()        {}
func (Tick) event()           {}
func (ValueRead) event()      {}
func (SegmentsRead) event()   {}
func (ValueWritten) event()   {}
func (SegmentWritten) event() {}
func (Intend) event()         {}
func (Conclude) event()       {}
func (Settled) event()        {}
func (ClaimRead) event()      {}

// Command is an output of Step.
type Command interface{ command() }

// ReadValue reads the active value.
type ReadValue struct{ Sequence uint64 }

// ReadSegments reads sealed segments.
type ReadSegments struct {
	Sequence uint64
	Names    []string
}

// WriteValue stores the active value by compare-and-swap.
type WriteValue struct {
	WriteID string
	Expect  ident.Revision
	Value   []byte
	// Records is the number of records that this write changes.
	Records int
}

// WriteSegment stores a sealed segment under a new name.
type WriteSegment struct {
	Name  string
	Value []byte
}

// DeleteSegment removes a segment that the active value does not name any more.
type DeleteSegment struct{ Name string }

// AskAgent asks the agent of the endpoint to settle a try.
type AskAgent struct {
	Caller   ident.Caller
	Key      ident.Key
	ID       ident.TryID
	Endpoint ident.Endpoint
}

// CheckClaim reads the claim on the endpoint.
type CheckClaim struct {
	Caller   ident.Caller
	Key      ident.Key
	ID       ident.TryID
	Endpoint ident.Endpoint
}

// Decision is the answer to Intend.
type Decision int

// Decisions.
const (
	Granted Decision = iota + 1
	AlreadyCompleted
	InProgress
	MayHaveRun
	Mismatch
	Unavailable
	NotOwner
	Expired
)

// IntendReply answers Intend.
type IntendReply struct {
	Token      Token
	Decision   Decision
	Answer     *Answer
	Owner      ident.Process
	RetryAfter time.Duration
	// RequestID is the request that holds the key.
	RequestID ident.RequestID
}

// ConcludeReply answers Conclude.
type ConcludeReply struct {
	Token Token
	// Recorded is set once the outcome is durable.
	Recorded bool
	// NotOwner is set if another process owns the bucket.
	NotOwner bool
	Owner    ident.Process
}

// Taken says that the bucket is owned from now on.
type Taken struct {
	Epoch    uint64
	Previous ident.Process
	Records  int
	// Segments are the segments in use; others under the bucket's prefix are left over.
	Segments []string
}

// Released says that the bucket is not owned any more.
type Released struct {
	Epoch   uint64
	Planned bool
}

// Wake asks for a Tick after a time, when the next commit may start.
type Wake struct{ After time.Duration }

// Violation reports a broken invariant; the bucket has given up ownership.
type Violation struct{ Err *InvariantError }

func (ReadValue) command()     {}
func (ReadSegments) command()  {}
func (WriteValue) command()    {}
func (WriteSegment) command()  {}
func (DeleteSegment) command() {}
func (AskAgent) command()      {}
func (CheckClaim) command()    {}
func (IntendReply) command()   {}
func (ConcludeReply) command() {}
func (Taken) command()         {}
func (Released) command()      {}
func (Wake) command()          {}
func (Violation) command()     {}
