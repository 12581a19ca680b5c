package resource

import "time"

// DefaultPolicyName is the name of the policy that takes effect.
const DefaultPolicyName = "default"

// DefaultPolicy returns the policy of a deployment that declares none.
func DefaultPolicy() Policy {
	return Policy{
		Name:                  DefaultPolicyName,
		LoadStallWeight:       1,
		BatchEfficiencyWeight: 1,
		LoadsPerSecond:        4,
		LoadsInFlight:         8,
		LoadTime:              Duration(250 * time.Millisecond),
		QueuePerEndpoint:      64,
		RetryRatio:            0.1,
		KeyRetention:          Duration(24 * time.Hour),
	}
}
