package gate

import (
	"time"

	"shallotring.dev/state/ident"
	"shallotring.dev/state/outcome"
)

// Event is one input of the gate.
type Event interface{ event() }

// Declaration is what the configuration in force declares about the resource that a try names.
type Declaration struct {
	Declared bool
	Revision ident.Revision
	// Path and Digest describe the weights; they are empty for plain services.
	Path   string
	Digest string
}

// Run requests one try; the same step returns Accept, Refuse or Abandon.
type Run struct {
	ID       ident.TryID
	Endpoint ident.Endpoint
	// Adapter is zero for plain services.
	Adapter ident.AdapterVersion
	Caller  ident.Caller
	// Share is the weight of the caller against other callers.
	Share    float64
	Key      ident.Key
	Priority int32
	Deadline time.Time
	// Revision is the revision of the resource that the sender resolved the request with.
	Revision    ident.Revision
	Declaration Declaration
}

// Ended reports that a started try has finished; Outcome is NotRun only if the endpoint certainly did nothing.
type Ended struct {
	ID      ident.TryID
	Outcome outcome.Outcome
	// Reached is set if the endpoint has begun to respond, so that no copy of the request is still in flight to it.
	Reached bool
	// Answer is stored for Settle if the try has a key.
	Answer *Answer
	Detail string
}

// SenderGone reports that the sender of a try has disconnected.
type SenderGone struct{ ID ident.TryID }

// Settle requests the state of a try and forbids one that the gate has not seen; the same step returns Settled.
type Settle struct {
	ID ident.TryID
	// Cancel also cancels a try that waits or runs.
	Cancel bool
}

// LoadEnded reports that a load has finished or failed. A load counts as failed unless the engine then lists the adapter with
// the declared digest.
type LoadEnded struct {
	Number uint64
	Digest string
	Failed bool
	// NoEffect is set on a failed load that certainly changed nothing at the engine.
	NoEffect bool
	// Unanswered is set on a failed load without a response of the engine: it may be on its way or in progress.
	Unanswered bool
	Detail     string
}

// UnloadEnded reports that an unload has finished or failed. An unload counts as failed unless the engine's list confirms it.
type UnloadEnded struct {
	Number uint64
	Failed bool
	Detail string
}

// Permits is the response to RequestPermits; unused permits are void after Until.
type Permits struct {
	Granted int
	Until   time.Time
	// Wait is the expected time until one more permit is granted.
	Wait time.Duration
}

// ListedAdapter is one adapter that the engine lists.
type ListedAdapter struct {
	Adapter ident.AdapterVersion
	Digest  string
}

// Request is one request that the engine lists as running.
type Request struct {
	// ID has the form "<RequestID>/<Try>".
	ID      string
	Adapter ident.AdapterVersion
}

// Surveyed is the result of Survey.
type Surveyed struct {
	Number   uint64
	Failed   bool
	StartID  ident.StartID
	Adapters []ListedAdapter
	Running  []Request
}

// StartIDObserved reports the start id in a response of the engine.
type StartIDObserved struct{ StartID ident.StartID }

// ClaimStatus states what the agent's claim to its endpoint allows.
type ClaimStatus int

// States of the claim.
const (
	// ClaimHeld allows all work.
	ClaimHeld ClaimStatus = iota
	// ClaimUncertain allows work at endpoints that check fencing numbers and repeatable work at plain services.
	ClaimUncertain
	// ClaimLost allows nothing new.
	ClaimLost
)

// Claim reports a change of the agent's claim; a higher incarnation makes the gate read the state of the engine again.
type Claim struct {
	Status      ClaimStatus
	Incarnation ident.Incarnation
}

// Configure reports the parts of the Endpoint and Policy resources that can change while the agent runs.
type Configure struct {
	BatchSize int
	// Slots is the number of adapters that the engine holds; zero leaves it unchanged.
	Slots int
	// LoadTime is the expected duration of a load; zero leaves it unchanged.
	LoadTime time.Duration
	Leaving  bool
}

// Drain stops the admission of tries permanently.
type Drain struct{}

// Tick reports the current time; the daemon sends it at the time that NextWake returns.
type Tick struct{}

func (Run) event()             {}
func (Ended) event()           {}
func (SenderGone) event()      {}
func (Settle) event()          {}
func (LoadEnded) event()       {}
func (UnloadEnded) event()     {}
func (Permits) event()         {}
func (Surveyed) event()        {}
func (StartIDObserved) event() {}
func (Claim) event()           {}
func (Configure) event()       {}
func (Drain) event()           {}
func (Tick) event()            {}
