package ident

import (
	"crypto/rand"
	"encoding/hex"
	"strings"
)

// RequestID identifies one request of a caller. All tries of the request share it.
type RequestID string

// Adapter is the name of a LoRA adapter.
type Adapter string

// Version is the name of one version of an adapter or of a base model's weights.
type Version string

// Endpoint is the name of a model engine or a plain service instance.
type Endpoint string

// Service is the name of a group of plain service endpoints.
type Service string

// BaseModel is the name of a base model.
type BaseModel string

// Caller is the name of a customer or client.
type Caller string

// Tenant is the name of a customer whose API keys open routes and whose usage is limited.
type Tenant string

// Zone is the name of an availability zone.
type Zone string

// Host is the name of a machine.
type Host string

// Process identifies one running process, such as an entry or an agent.
type Process string

// Key is a caller's idempotency key.
type Key string

// Revision is a revision number of the key-value service.
type Revision int64

// Incarnation identifies the period for which an agent holds the claim on its endpoint. It is the revision at which the claim
// was written, and the fencing number of the agent's orders to the engine.
type Incarnation int64

// StartID identifies one start of an engine; each restart has another one.
type StartID string

// Try is the number of a try, counted from 1 within its request. A try is one run of a request at one endpoint.
type Try uint32

// Tokens is a number of tokens.
type Tokens uint64

// Megabytes is an amount of an engine's memory, in MB.
type Megabytes float64

// AdapterVersion identifies one version of an adapter, or an adapter without a version.
type AdapterVersion struct {
	Adapter Adapter
	Version Version
}

// String returns the form "adapter@version" that engines use.
func (av AdapterVersion) String() string {
	if av.Version == "" {
		return string(av.Adapter)
	}
	return string(av.Adapter) + "@" + string(av.Version)
}

// IsZero reports whether the adapter name is empty.
func (av AdapterVersion) IsZero() bool { return av.Adapter == "" }

// ParseAdapterVersion splits "adapter" or "adapter@version"; the version is empty if absent.
func ParseAdapterVersion(s string) AdapterVersion {
	name, version, _ := strings.Cut(s, "@")
	return AdapterVersion{Adapter: Adapter(name), Version: Version(version)}
}

// ModelVersion identifies one version of a base model's weights; the version is empty if it is not known.
type ModelVersion struct {
	Model   BaseModel
	Version Version
}

// TryID identifies one try of a request, which is meant for one incarnation of an agent.
type TryID struct {
	RequestID   RequestID
	Try         Try
	Incarnation Incarnation
}

const randomIDBytes = 12

// NewRequestID returns a random request id.
func NewRequestID() RequestID { return RequestID("req-" + randomHex()) }

// NewProcess returns a random process id that starts with the role.
func NewProcess(role string) Process { return Process(role + "-" + randomHex()) }

func randomHex() string {
	var b [randomIDBytes]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
