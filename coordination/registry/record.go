package registry

import (
	"fmt"

	"shallotring.dev/state/ident"
)

// Keys and key prefixes in the key-value service.
const (
	ConfigPrefix  = "/shallotring/config/"
	ClaimPrefix   = "/shallotring/claim/"
	ProcessPrefix = "/shallotring/process/"
	LedgerPrefix  = "/shallotring/ledger/"
	PermitKey     = "/shallotring/permit"
)

// Role is the kind of a process.
type Role string

// Roles of processes.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// ClaimRecord is the value of an agent's claim on its endpoint, stored as JSON.
// The ModRevision of the key is the incarnation.
type ClaimRecord struct {
	Process  ident.Process
	Endpoint ident.Endpoint
	// Address is the IP:port of the agent's listener for entries.
	Address string
	Host    ident.Host
	Zone    ident.Zone
	Leaving bool
}

// ProcessRecord is the value of a presence record, stored as JSON.
type ProcessRecord struct {
	Process ident.Process
	Role    Role
	// Address is the IP:port of the listener for calls from the other processes of the deployment.
	Address string
	Host    ident.Host
	Zone    ident.Zone
}

// ConfigKey returns the key of a configuration shard.
func ConfigKey(shard int) string { return fmt.Sprintf("%s%02x", ConfigPrefix, shard) }

// ClaimKey returns the key of the claim on an endpoint.
func ClaimKey(e ident.Endpoint) string { return ClaimPrefix + string(e) }

// ProcessKey returns the key of a presence record.
func ProcessKey(p ident.Process) string { return ProcessPrefix + string(p) }

// LedgerKey returns the key of a ledger bucket.
func LedgerKey(bucket int) string { return fmt.Sprintf("%s%02x", LedgerPrefix, bucket) }
