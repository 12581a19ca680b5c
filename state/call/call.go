package call

import (
	"time"

	"shallotring.dev/state/ident"
)

// Part is a part of a prompt that other requests may share.
type Part struct {
	ID     uint64
	Tokens ident.Tokens
}

// Call is what the headers of a request say.
type Call struct {
	ID ident.RequestID
	// Model is empty for plain services.
	Model ident.BaseModel
	// Adapter is empty if the base model is asked for.
	Adapter ident.Adapter
	Prompt  ident.Tokens
	// Output is the most tokens that the caller takes.
	Output ident.Tokens
	// Expected is the caller's estimate of the output; 0 if it gives none.
	Expected ident.Tokens
	// Parts lists the prompt's parts in order; the last belongs to the request or its session.
	Parts []Part
	// Wait is how long the caller waits from now; 0 if it does not say.
	Wait time.Duration
}

// Shared returns a key and the length of the parts that other requests share; the key is 0 if there are none.
func (c Call) Shared() (key uint64, tokens ident.Tokens) {
	for _, p := range c.Parts[:max(len(c.Parts)-1, 0)] {
		key = (key ^ p.ID) * 0x100000001b3
		tokens += p.Tokens
	}
	return key, tokens
}

// Dispatch is what the system tells the endpoint about a request.
type Dispatch struct {
	// Endpoint is refused by any other life of an engine at the same address.
	Endpoint ident.Endpoint
	// Version is the version of the adapter that must be loaded; empty if none is announced.
	Version ident.Version
	// Left is the time that the caller still waits.
	Left time.Duration
	// Priority is from 0, first, to 9.
	Priority int
	// Resume is the last event that the caller has; empty for a first run.
	Resume string
	// Source is the address of an engine that has read the beginning of the prompt; empty if the endpoint reads it itself.
	Source string
}

// Verdict is what the headers of an answer promise.
type Verdict struct {
	// ID is the request that the answer names; empty if it names none.
	ID ident.RequestID
	// NotRun is a promise that the request did not run.
	NotRun bool
	// Misdirected means that the endpoint is another one or does not hold what was asked for; the request did not run.
	Misdirected bool
	// Sealed is false if the answer is not certified by the endpoint.
	Sealed bool
	// Encoded is true if the body is not the endpoint's own bytes.
	Encoded bool
}
