package control

import (
	"time"

	"shallotring.dev/state/fingerprint"
	"shallotring.dev/state/ident"
)

// Evidence is what one entry has seen of requests that may crash endpoints. Agents pass it on to all other entries.
type Evidence struct {
	Host      ident.Host
	Ends      []EndEvidence      `json:",omitempty"`
	Survivals []SurvivalEvidence `json:",omitempty"`
}

// EndEvidence is the end of an endpoint with requests in progress.
type EndEvidence struct {
	Endpoint ident.Endpoint
	Born     int64 `json:",omitempty"`
	// AgeMilli is the time since the first request was broken off.
	AgeMilli int64 `json:",omitempty"`
	Requests []InterruptedRequest
}

// InterruptedRequest is a request that was in progress at the end.
type InterruptedRequest struct {
	Request fingerprint.Fingerprint
	// Content is that of all requests with the same content; zero for requests that have nothing else.
	Content fingerprint.Fingerprint `json:",omitzero"`
	// RanMilli is the time from its send to the end.
	RanMilli int64 `json:",omitempty"`
}

// SurvivalEvidence is the number of complete runs of a request since the first end under it.
type SurvivalEvidence struct {
	Request fingerprint.Fingerprint
	Count   int
}

// Aged returns the evidence as of some time after it was sent.
func (v Evidence) Aged(by time.Duration) Evidence {
	ends := make([]EndEvidence, len(v.Ends))
	for i, x := range v.Ends {
		x.AgeMilli += by.Milliseconds()
		ends[i] = x
	}
	v.Ends = ends
	return v
}
