package control

import (
	"shallotring.dev/state/ident"
	"shallotring.dev/state/sendlimit"
)

// LimitObservation reports the limit that an endpoint's response has named, or that it has named none any more.
type LimitObservation struct {
	Endpoint ident.Endpoint
	Limit    sendlimit.Limit
}

// SendRequest asks for one send to an endpoint with a limit.
type SendRequest struct {
	// Sequence is repeated in the response.
	Sequence int64
	Endpoint ident.Endpoint
	// Limit is the limit that the entry knows.
	Limit sendlimit.Limit
	// MaxWaitMilli is the longest time for which the request can wait.
	MaxWaitMilli int64 `json:",omitempty"`
}

// SendGrant is the response to a SendRequest.
type SendGrant struct {
	Sequence int64
	Granted  bool `json:",omitempty"`
	// WaitMilli is the time until the request may be sent, or, if it is not granted, until one could be sent at once.
	WaitMilli int64 `json:",omitempty"`
	Limit     sendlimit.Limit
}
