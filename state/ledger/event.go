package ledger

import (
	"time"

	"shallotring.dev/state/ident"
	"shallotring.dev/state/outcome"
)

// Token identifies the call that a reply belongs to.
type Token uint64

// Event is an input of Step.
type Event interface{ event() }

// Acquire starts a takeover of the bucket by this process.
type Acquire struct {
	// IfReleased restricts the takeover to a bucket that its last owner has released.
	IfReleased bool
}

// Release ends the ownership by a write without owner, after the write in flight and the queued changes.
type Release struct{}

// Tick reports the current time. It triggers retries of reads, the refusal of calls that wait too long, and settlements.
type Tick struct{}

// ValueRead is the result of ReadValue.
type ValueRead struct {
	Sequence uint64
	// Failed is set if the key-value service did not respond.
	Failed   bool
	Found    bool
	Value    []byte
	Revision ident.Revision
}

// SegmentsRead is the result of ReadSegments, with the values in the order of the names.
type SegmentsRead struct {
	Sequence uint64
	Failed   bool
	Values   [][]byte
}

// WriteResult is the result of a compare-and-swap.
type WriteResult int

// Results of a write.
const (
	// WriteApplied means that the write has taken effect.
	WriteApplied WriteResult = iota
	// WriteConflict means that the value was at another revision than expected.
	WriteConflict
	// WriteResultUnknown means that the response was lost: the write may have taken effect or may still do so.
	WriteResultUnknown
	// WriteNotApplied means that the key-value service was unavailable and the write has no effect.
	WriteNotApplied
)

// ValueWritten is the result of WriteValue.
type ValueWritten struct {
	WriteID  string
	Result   WriteResult
	Revision ident.Revision
}

// SegmentWritten is the result of WriteSegment.
type SegmentWritten struct {
	Name   string
	Stored bool
}

// Intend requests the grant to dispatch one try.
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

// TryState is the state of a try as its agent reports it.
type TryState int

// States of a try.
const (
	// TryUnreachable means that the agent did not respond.
	TryUnreachable TryState = iota
	// TryNeverStarted means that the try has not started and that the agent refuses it from then on.
	TryNeverStarted
	TryRunning
	TryCompleted
	TryUnknown
)

// Settled is the result of SettleTry.
type Settled struct {
	Caller ident.Caller
	Key    ident.Key
	ID     ident.TryID
	State  TryState
	Answer *Answer
}

// ClaimRead is the result of CheckClaim.
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

// DeleteSegment deletes a segment that the active value no longer refers to.
type DeleteSegment struct{ Name string }

// SettleTry sends the agent of the endpoint a request to settle a try.
type SettleTry struct {
	Caller   ident.Caller
	Key      ident.Key
	ID       ident.TryID
	Endpoint ident.Endpoint
}

// CheckClaim reads the claim on the endpoint, whose revision is the incarnation of its agent.
type CheckClaim struct {
	Caller   ident.Caller
	Key      ident.Key
	ID       ident.TryID
	Endpoint ident.Endpoint
}

// Decision is the response to Intend.
type Decision int

// Decisions on an intent.
const (
	// Granted means that the intent is durable and the try may be dispatched.
	Granted Decision = iota + 1
	// AlreadyCompleted means that the key has run; the reply carries the recorded response.
	AlreadyCompleted
	// InProgress means that another try with the key may be running.
	InProgress
	// MayHaveRun means that it is unknown whether an earlier try with the key ran.
	MayHaveRun
	// Mismatch means that the key was used with another body.
	Mismatch
	// Unavailable means that the intent cannot be recorded at present.
	Unavailable
	// NotOwner means that another process owns the bucket.
	NotOwner
	// Expired means that the time in the key is older than the retention.
	Expired
)

// IntendReply replies to Intend.
type IntendReply struct {
	Token      Token
	Decision   Decision
	Answer     *Answer
	Owner      ident.Process
	RetryAfter time.Duration
	// RequestID is the request of the try that is recorded for the key.
	RequestID ident.RequestID
}

// ConcludeReply replies to Conclude.
type ConcludeReply struct {
	Token Token
	// Recorded is set once the outcome is durable.
	Recorded bool
	// NotOwner is set if another process owns the bucket.
	NotOwner bool
	Owner    ident.Process
}

// Acquired reports that this process now owns the bucket.
type Acquired struct {
	Epoch    uint64
	Previous ident.Process
	Records  int
	// Segments are the segments in use. Other segments under the bucket's prefix are unused and can be deleted.
	Segments []string
}

// Released reports that this process no longer owns the bucket.
type Released struct {
	Epoch uint64
	// Planned is set if the ownership ended because of Release.
	Planned bool
}

// Wake requests a Tick after the given time, when the next commit may start.
type Wake struct{ After time.Duration }

// Violation reports a violated invariant. The process no longer owns the bucket.
type Violation struct{ Err *InvariantError }

func (ReadValue) command()     {}
func (ReadSegments) command()  {}
func (WriteValue) command()    {}
func (WriteSegment) command()  {}
func (DeleteSegment) command() {}
func (SettleTry) command()     {}
func (CheckClaim) command()    {}
func (IntendReply) command()   {}
func (ConcludeReply) command() {}
func (Acquired) command()      {}
func (Released) command()      {}
func (Wake) command()          {}
func (Violation) command()     {}
