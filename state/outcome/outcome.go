package outcome

import "time"

// Outcome states whether a request ran.
type Outcome string

const (
	// Completed means that the request ran and its complete response was delivered.
	Completed Outcome = "completed"
	// NotRun means that the request did not run and never will.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
)

// Reason states why a try or a request was refused.
type Reason string

// Reasons for a refusal. A refused try or request did not run and never will (guarantee G4).
const (
	Leaving        Reason = "leaving"         // the endpoint is being drained
	QueueFull      Reason = "queue-full"      // the bounded queue is full
	CallerLimit    Reason = "caller-limit"    // the caller exceeds its fair share
	Deadline       Reason = "deadline"        // the deadline has passed or is expected to pass in the queue
	LoadFailed     Reason = "load-failed"     // the adapter cannot be loaded at this endpoint
	StaleRevision  Reason = "stale-revision"  // the resource has changed since the sender resolved the request
	StaleClaim     Reason = "stale-claim"     // the try names another incarnation of the agent
	ClaimLost      Reason = "claim-lost"      // the agent may no longer hold its claim and must not send orders to its endpoint
	Tombstoned     Reason = "tombstoned"      // the try was settled as never started
	Duplicate      Reason = "duplicate"       // the try was already received
	Isolated       Reason = "isolated"        // the process cannot confirm its configuration
	EngineDown     Reason = "engine-down"     // the endpoint cannot be reached
	UnknownAdapter Reason = "unknown-adapter" // the adapter or version is not declared
	NoEndpoint     Reason = "no-endpoint"     // no endpoint can take the request
	Quarantined    Reason = "quarantined"     // endpoints crash on the request or on a part of its prompt
	KeyUnknown     Reason = "key-unknown"     // no tenant holds the API key of the request
	QuotaExceeded  Reason = "quota"           // the tenant is beyond its usage limit
	Overload       Reason = "overload"        // the endpoints have too little room, and others are more urgent
	Stopping       Reason = "stopping"        // the entry may end before the request
	LedgerDown     Reason = "ledger-down"     // the idempotency record cannot be written
)

// Refusal is the error for a try or a request that was refused and did not run.
type Refusal struct {
	Reason Reason
	// RetryAfter is the time after which a retry is likely to be accepted. It is zero if a retry is pointless.
	RetryAfter time.Duration
	Detail     string
}

// Error returns the reason and the detail.
func (r *Refusal) Error() string {
	if r.Detail == "" {
		return "not run: " + string(r.Reason)
	}
	return "not run: " + string(r.Reason) + ": " + r.Detail
}
