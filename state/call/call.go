package call

import (
	"strconv"
	"time"

	"shallotring.dev/state/ident"
	"shallotring.dev/state/sendlimit"
	"shallotring.dev/state/tenant"
)

// PartID identifies a section of prompts; it is the callers' choice.
type PartID uint64

// String returns the id in hexadecimal.
func (p PartID) String() string { return strconv.FormatUint(uint64(p), 16) }

// Part is a section of a prompt that other requests may share.
type Part struct {
	ID     PartID
	Tokens ident.Tokens
}

// Call is the content of a request's headers.
type Call struct {
	ID ident.RequestID
	// Caller identifies the caller; empty if the headers do not.
	Caller ident.Caller
	// Key is the digest of the API key, zero unless the headers present exactly one.
	Key tenant.Digest
	// Model is empty for plain services.
	Model ident.BaseModel
	// Adapter is empty if the base model is requested.
	Adapter ident.Adapter
	// PromptTokens is the length of the prompt.
	PromptTokens ident.Tokens
	// MaxOutputTokens is the maximum number of output tokens that the caller accepts.
	MaxOutputTokens ident.Tokens
	// ExpectedOutputTokens is the caller's estimate of the number of output tokens; 0 if it gives none.
	ExpectedOutputTokens ident.Tokens
	// Parts lists the prompt's parts in order; the last one is specific to the request or its session.
	Parts []Part
	// Timeout is the time from now for which the caller waits; 0 if it is not given.
	Timeout time.Duration
}

// SharedParts returns the prompt parts that other requests may share.
func (c Call) SharedParts() []Part { return c.Parts[:max(len(c.Parts)-1, 0)] }

// SharedPrefix returns a key and the length of the prompt parts that other requests may share; the key is 0 if there are none.
func (c Call) SharedPrefix() (key uint64, tokens ident.Tokens) {
	// The key combines the IDs in order, as the hash function FNV-1a does with bytes.
	for _, p := range c.SharedParts() {
		key = (key ^ uint64(p.ID)) * 0x100000001b3
		tokens += p.Tokens
	}
	return key, tokens
}

// Dispatch is what an entry sends to the endpoint about a request besides the caller's own headers.
type Dispatch struct {
	// Endpoint is the intended endpoint; any other incarnation of an engine at the same address refuses the request.
	Endpoint ident.Endpoint
	// Version is the version of the adapter that must be loaded; empty if it is not known.
	Version ident.Version
	// Remaining is the remaining time for which the caller waits.
	Remaining time.Duration
	// Priority ranges from 0, the highest, to 9.
	Priority int
	// Resume is the last event that the caller has received; empty for a first run.
	Resume string
	// WithholdsCredentials means that the endpoint gets neither the caller's credentials nor a tenant that the caller named.
	WithholdsCredentials bool
	// Tenant is the tenant that the request belongs to; empty if none.
	Tenant ident.Tenant
	// Source is the address of an engine that has cached the prompt prefix; empty if the endpoint is to read it itself.
	Source string
}

// ResponseInfo is what the headers of a response state about the request and the body.
type ResponseInfo struct {
	// ID is the request that the response names; empty if it names none.
	ID ident.RequestID
	// NotRun is true if the endpoint guarantees that the request did not run.
	NotRun bool
	// Misdirected is true if the request reached another endpoint, or one that does not hold the requested model or adapter; the
	// request did not run.
	Misdirected bool
	// Sealed is true if the endpoint has certified the response.
	Sealed bool
	// Leaving is true if the endpoint has announced that it is leaving.
	Leaving bool
	// RetryAfter is the time for which the endpoint wants no requests from this host; 0 if it states none.
	RetryAfter time.Duration
	// Limit is the rate of requests that the endpoint takes from all hosts together. InvalidLimit is true if the response names one that
	// cannot be read.
	Limit        sendlimit.Limit
	InvalidLimit bool
	// Encoded is true if the body has a content encoding and so is not the endpoint's original bytes.
	Encoded bool
}
