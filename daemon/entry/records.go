package entry

import (
	"sync"
	"time"

	"shallotring.dev/state/attempt"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/outcome"
)

// TryRecord is one try in a Record.
type TryRecord struct {
	Try         ident.Try
	Endpoint    ident.Endpoint
	Incarnation ident.Incarnation
	Dispatched  time.Time
}

// Record is what GET /v1/requests/{id} returns to the caller of the request.
type Record struct {
	Request ident.RequestID
	Caller  ident.Caller
	Adapter ident.Adapter `json:",omitempty"`
	Version ident.Version `json:",omitempty"`
	Service ident.Service `json:",omitempty"`
	Status  int
	Outcome outcome.Outcome
	Failure attempt.Failure `json:",omitempty"`
	Reason  outcome.Reason  `json:",omitempty"`
	// ReplayOf is the request whose recorded response was returned; this request had no try.
	ReplayOf         ident.RequestID `json:",omitempty"`
	Tries            []TryRecord
	PromptTokens     ident.Tokens
	CompletionTokens ident.Tokens
	StallMilli       int64
	Received         time.Time
	Finished         time.Time
}

// records stores the latest finished requests in a ring; a new one overwrites the oldest.
type records struct {
	mu   sync.Mutex
	byID map[ident.RequestID]*Record
	ring []*Record
	next int
}

func newRecords(n int) *records {
	return &records{byID: make(map[ident.RequestID]*Record), ring: make([]*Record, n)}
}

func (r *records) add(record *Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if old := r.ring[r.next]; old != nil {
		delete(r.byID, old.Request)
	}
	r.ring[r.next] = record
	r.byID[record.Request] = record
	r.next = (r.next + 1) % len(r.ring)
}

// get returns the record of a request of the caller; another caller's request is not found.
func (r *records) get(c ident.Caller, id ident.RequestID) (record *Record, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record, ok = r.byID[id]
	if !ok || record.Caller != c {
		return nil, false
	}
	return record, true
}
