package ident

import (
	"crypto/rand"
	"encoding/hex"
	"strings"
)

// RequestID names one request of a caller across all its tries.
type RequestID string

// Adapter is the name of a LoRA adapter.
type Adapter string

// Version names one version of an adapter.
type Version string

// Endpoint is the name of a model engine or a plain service instance.
type Endpoint string

// Service is the name of a group of plain service endpoints.
type Service string

// BaseModel is the name of a base model.
type BaseModel string

// Caller is the name of a customer or client.
type Caller string

// Zone is the name of an availability zone.
type Zone string

// Host is the name of a machine.
type Host string

// Process is the id of one running process of the project.
type Process string

// Key is a caller's idempotency key.
type Key string

// Revision is a revision number of the key-value service.
type Revision int64

// Incarnation is the revision of an agent's claim and the fencing number of its orders.
type Incarnation int64

// StartID changes each time an engine restarts.
type StartID string

// Try counts the tries of a request from 1.
type Try uint32

// Tokens is a number of tokens.
type Tokens uint64

// AdapterVersion names an adapter at one version.
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

// IsZero reports whether no adapter is named.
func (av AdapterVersion) IsZero() bool { return av.Adapter == "" }

// ParseAdapterVersion splits "adapter" or "adapter@version"; the version is empty if absent.
func ParseAdapterVersion(s string) AdapterVersion {
	name, version, _ := strings.Cut(s, "@")
	return AdapterVersion{Adapter: Adapter(name), Version: Version(version)}
}

// TryID names one try of one request at one incarnation of an agent.
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
