package holdings

import (
	"time"

	"shallotring.dev/state/ident"
	"shallotring.dev/state/sendlimit"
)

// Report is the state that an engine reports.
type Report struct {
	// StartMilli is the start time of this incarnation of the engine in Unix milliseconds.
	StartMilli int64
	// Sequence counts the orders that this incarnation of the engine has accepted.
	Sequence int64
	Running  int
	Queued   int
	// Starting is the number of running requests that have produced no output yet.
	Starting int
	// Busy is set while a base model is loaded or unloaded.
	Busy    bool
	Leaving bool
	// Remaining is the time until a leaving engine stops.
	Remaining time.Duration
	// MemoryUsed and MemoryTotal are in tokens; used memory cannot be freed for other requests.
	MemoryUsed  float64
	MemoryTotal float64
	Models      []ident.ModelVersion
	Resident    []ident.AdapterVersion
	// Loading lists the adapters that are being loaded; they occupy slots.
	Loading []ident.AdapterVersion
	// Limit is the rate of requests that the engine takes from all hosts together.
	Limit sendlimit.Limit
}

// Order is a command to the engine to load or unload an adapter or to load a base model.
type Order struct {
	Unload bool
	// Model is set to load a base model; otherwise the order is about an adapter.
	Model    ident.BaseModel
	Adapter  ident.AdapterVersion
	Endpoint ident.Endpoint
	// ExpectedSequence is the sequence that the engine must have to accept the order: if it has accepted another order in between, its
	// sequence has risen, and it refuses this one.
	ExpectedSequence int64
	// FencingNumber is the incarnation of the agent that sends the order. The engine refuses the order if it has received a
	// higher one.
	FencingNumber ident.Incarnation
}

// BusyError is the error of a call that an engine refused with a time for which it wants no further ones.
type BusyError struct {
	RetryAfter time.Duration
}

// Error describes the refusal.
func (e *BusyError) Error() string { return "engine wants no calls for " + e.RetryAfter.String() }

// Result is the result of an order.
type Result int

// Results of orders.
const (
	// Unknown means that no response arrived; the engine may have executed the order, or may execute it later.
	Unknown Result = iota
	Accepted
	// Conflict means that the engine has accepted another order first.
	Conflict
	// Fenced means that the engine has received a higher fencing number.
	Fenced
	// Misdirected means that the address belongs to another engine.
	Misdirected
	// Rejected means that the engine has refused the order for any other reason.
	Rejected
)

// String returns the name of the result for logs.
func (r Result) String() string {
	return [...]string{"unknown", "accepted", "conflict", "fenced", "misdirected", "rejected"}[r]
}
