package gateway

// Paths of the calls.
const (
	PathRange     = "/v3/kv/range"
	PathTxn       = "/v3/kv/txn"
	PathGrant     = "/v3/lease/grant"
	PathKeepAlive = "/v3/lease/keepalive"
	PathRevoke    = "/v3/lease/revoke"
	PathWatch     = "/v3/watch"
)

// Error codes, which are those of gRPC.
const (
	CodeInvalidArgument = 3
	CodeNotFound        = 5
	CodeUnavailable     = 14
)

// Values of enumerations.
const (
	TargetCreate = "CREATE"
	TargetMod    = "MOD"
	ResultEqual  = "EQUAL"
	EventDelete  = "DELETE"
)

// Header is the header of a response.
type Header struct {
	Revision int64 `json:"revision,string,omitempty"`
}

// KeyValue is one key with its value.
type KeyValue struct {
	Key            []byte `json:"key,omitempty"`
	Value          []byte `json:"value,omitempty"`
	CreateRevision int64  `json:"create_revision,string,omitempty"`
	ModRevision    int64  `json:"mod_revision,string,omitempty"`
	Version        int64  `json:"version,string,omitempty"`
	Lease          int64  `json:"lease,string,omitempty"`
}

// RangeRequest reads one key, or all keys from Key up to RangeEnd, which is not included.
type RangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// RangeResponse is the response to a RangeRequest.
type RangeResponse struct {
	Header Header     `json:"header"`
	KVs    []KeyValue `json:"kvs,omitempty"`
}

// Compare is one condition of a transaction.
type Compare struct {
	Key            []byte `json:"key"`
	Target         string `json:"target"`
	Result         string `json:"result"`
	ModRevision    int64  `json:"mod_revision,string,omitempty"`
	CreateRevision int64  `json:"create_revision,string,omitempty"`
}

// Put stores one value.
type Put struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value,omitempty"`
	Lease int64  `json:"lease,string,omitempty"`
}

// Delete removes one key.
type Delete struct {
	Key []byte `json:"key"`
}

// Operation is one step of a transaction; exactly one field is set.
type Operation struct {
	Put    *Put    `json:"request_put,omitempty"`
	Delete *Delete `json:"request_delete_range,omitempty"`
}

// TxnRequest runs the operations of Success if all conditions of Compare are true, otherwise those of Failure.
type TxnRequest struct {
	Compare []Compare   `json:"compare,omitempty"`
	Success []Operation `json:"success,omitempty"`
	Failure []Operation `json:"failure,omitempty"`
}

// TxnResponse is the response to a TxnRequest.
type TxnResponse struct {
	Header    Header `json:"header"`
	Succeeded bool   `json:"succeeded,omitempty"`
}

// Lease identifies a lease in requests and responses; TTL is in seconds.
type Lease struct {
	ID  int64 `json:"ID,string,omitempty"`
	TTL int64 `json:"TTL,string,omitempty"`
}

// KeepAliveResponse is one line of the response to a keep-alive; a TTL of zero means that the lease does not exist.
type KeepAliveResponse struct {
	Result Lease `json:"result"`
}

// WatchRequest opens a watch.
type WatchRequest struct {
	Create WatchCreate `json:"create_request"`
}

// WatchCreate selects the keys and the first revision of a watch.
type WatchCreate struct {
	Key            []byte `json:"key"`
	RangeEnd       []byte `json:"range_end,omitempty"`
	StartRevision  int64  `json:"start_revision,string,omitempty"`
	ProgressNotify bool   `json:"progress_notify,omitempty"`
}

// Event is one change; an empty type is a put.
type Event struct {
	Type string   `json:"type,omitempty"`
	KV   KeyValue `json:"kv"`
}

// WatchResult is the result in one line of a watch.
type WatchResult struct {
	Header          Header  `json:"header"`
	Created         bool    `json:"created,omitempty"`
	Canceled        bool    `json:"canceled,omitempty"`
	CompactRevision int64   `json:"compact_revision,string,omitempty"`
	Events          []Event `json:"events,omitempty"`
}

// WatchResponse is one line of the response to a watch.
type WatchResponse struct {
	Result *WatchResult `json:"result,omitempty"`
	Error  *Error       `json:"error,omitempty"`
}

// Error is the body of a response with an error status.
type Error struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
}

// PrefixEnd returns the range end that selects all keys with the prefix.
func PrefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}
