package holdings

import (
	"time"

	"shallotring.dev/state/ident"
)

// Report is what an engine says of itself.
type Report struct {
	// Born is the start of this life of the engine in Unix milliseconds.
	Born int64
	// Sequence counts the orders that the engine has accepted in this life.
	Sequence int64
	Running  int
	Queued   int
	// Starting is the number of running requests that have produced nothing yet.
	Starting int
	// Busy is set while a base model is loaded or unloaded.
	Busy      bool
	Leaving   bool
	Remaining time.Duration
	// MemoryUsed and MemoryTotal are in tokens; what is used cannot yield to other requests.
	MemoryUsed  float64
	MemoryTotal float64
	Models      []ident.BaseModel
	Resident    []ident.AdapterVersion
	// Loading lists the adapters on their way to the engine; they take places.
	Loading []ident.AdapterVersion
}

// Order is one order to the engine.
type Order struct {
	Unload bool
	// Model is set to load a base model; otherwise the order is about an adapter.
	Model    ident.BaseModel
	Adapter  ident.AdapterVersion
	Endpoint ident.Endpoint
	// Expected is the sequence at which the order holds: one that arrives late finds another sequence and is refused.
	Expected int64
	Fence    ident.Incarnation
}

// Result is the engine's answer to an order.
type Result int

// Results of orders.
const (
	// Unknown means that no answer came; the order may be carried out now or later.
	Unknown Result = iota
	Accepted
	// Conflict means that another order came first.
	Conflict
	// Fenced means that the engine has seen a higher fencing number.
	Fenced
	// Misdirected means that another engine has the address.
	Misdirected
	Rejected
)

// String returns the name of the result for logs.
func (r Result) String() string {
	return [...]string{"unknown", "accepted", "conflict", "fenced", "misdirected", "rejected"}[r]
}
