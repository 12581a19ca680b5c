package control

import (
	"shallotring.dev/state/ident"
	"shallotring.dev/state/quotapool"
	"shallotring.dev/state/tenant"
)

// UsageRequest asks for usage of a tenant. Without a tenant, it only tells the shards.
type UsageRequest struct {
	// Shards are those for which the entry has chosen the agent.
	Shards quotapool.Shards
	// Sequence is repeated in the response.
	Sequence int64        `json:",omitempty"`
	Tenant   ident.Tenant `json:",omitempty"`
	// Limit is that of the configuration with the Version.
	Limit   tenant.Limit `json:",omitzero"`
	Version int64        `json:",omitempty"`
	// Units are for one request and Stock for later ones; Returned units were granted and not used.
	Units    float64 `json:",omitempty"`
	Stock    float64 `json:",omitempty"`
	Returned float64 `json:",omitempty"`
	// Former is set if the entry has asked another agent, or this one on another connection, before, at which Claimed units were left.
	Former  bool    `json:",omitempty"`
	Claimed float64 `json:",omitempty"`
}

// UsageGrant is the response to a UsageRequest.
type UsageGrant struct {
	Sequence int64
	Granted  bool `json:",omitempty"`
	// WaitMilli is the time until the units could be granted if they are not.
	WaitMilli int64 `json:",omitempty"`
	// RetryAfterMilli is the time after which a refused caller is expected to find room.
	RetryAfterMilli int64   `json:",omitempty"`
	Stock           float64 `json:",omitempty"`
	Left            float64 `json:",omitempty"`
}
