package ledger

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"shallotring.dev/state/ident"
)

// State is the state of one record.
type State string

// States of a record.
const (
	// Intent means that the named try may be dispatched and has no outcome yet.
	Intent State = "intent"
	// Completed means that the named try ran to its end.
	Completed State = "completed"
	// Unknown means that the named try may have run; the key is never dispatched again.
	Unknown State = "unknown"
	// NotRun means that the named try never started and never will.
	NotRun State = "not-run"
)

// MaxAnswerBytes is the size of the largest response body that is stored with a record.
const MaxAnswerBytes = 4 << 10

// Answer is the recorded response of a completed request.
type Answer struct {
	Status      int             `json:",omitempty"`
	ContentType string          `json:",omitempty"`
	Body        []byte          `json:",omitempty"`
	Truncated   bool            `json:",omitempty"`
	RequestID   ident.RequestID `json:",omitempty"`
	Adapter     ident.Adapter   `json:",omitempty"`
	Version     ident.Version   `json:",omitempty"`
}

// Record is the state of one idempotency key of one caller.
type Record struct {
	Caller   ident.Caller
	Key      ident.Key
	Digest   []byte
	ID       ident.TryID
	Endpoint ident.Endpoint
	State    State
	Answer   *Answer `json:",omitempty"`
	// AtUnixMilli is the time of the intent, and UntilUnixMilli the time after which a concluded record may be dropped, in
	// milliseconds since the Unix epoch.
	AtUnixMilli    int64
	UntilUnixMilli int64
}

// Segment refers to a stored value that contains concluded records and is never changed.
type Segment struct {
	Name           string
	UntilUnixMilli int64
}

// Value is the stored form of a bucket's active value.
type Value struct {
	Owner    ident.Process
	Epoch    uint64
	WriteID  string
	Segments []Segment         `json:",omitempty"`
	Records  []json.RawMessage `json:",omitempty"`
}

type recordKey struct {
	caller ident.Caller
	key    ident.Key
}

func compareKeys(a, b recordKey) int {
	if c := strings.Compare(string(a.caller), string(b.caller)); c != 0 {
		return c
	}
	return strings.Compare(string(a.key), string(b.key))
}

// storedRecord is a record with its encoded form, so that a commit encodes only changed records.
type storedRecord struct {
	record Record
	raw    json.RawMessage
	// segment is the name of the segment that contains the record; it is empty for the active value.
	segment string
}

func newStoredRecord(r Record) *storedRecord {
	raw, err := json.Marshal(r)
	if err != nil {
		panic(fmt.Sprintf("encode ledger record: %v", err)) // every field has an encoding
	}
	return &storedRecord{record: r, raw: raw}
}

func (e *storedRecord) key() recordKey { return recordKey{e.record.Caller, e.record.Key} }

func (e *storedRecord) expired(now time.Time) bool {
	return e.record.State != Intent && now.UnixMilli() > e.record.UntilUnixMilli
}

func decodeRecords(list []json.RawMessage, segment string, into map[recordKey]*storedRecord) (err error) {
	defer func() { err = eris.Wrap(err, "decode ledger records") }()
	for _, raw := range list {
		e := &storedRecord{raw: raw, segment: segment}
		if err = json.Unmarshal(raw, &e.record); err != nil {
			return err
		}
		into[e.key()] = e
	}
	return nil
}

func sortedRecordKeys(m map[recordKey]*storedRecord) (list []recordKey) {
	for k := range m {
		list = append(list, k)
	}
	slices.SortFunc(list, compareKeys)
	return list
}

func encodedRecords(m map[recordKey]*storedRecord) (list []json.RawMessage) {
	for _, k := range sortedRecordKeys(m) {
		list = append(list, m[k].raw)
	}
	return list
}

func encodeJSON(v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("encode ledger value: %v", err)) // every field has an encoding
	}
	return raw
}

func limitAnswer(a *Answer) *Answer {
	if a == nil || len(a.Body) <= MaxAnswerBytes {
		return a
	}
	c := *a
	c.Body, c.Truncated = nil, true
	return &c
}
