package quotastock

import "time"

const (
	// claimAge is the age up to which the last answer of a former owner tells what is left, and claimShare the part of it that a new owner may
	// count on: others have used units since.
	claimAge   = 3 * time.Second
	claimShare = 0.5
)

// claim is what the last answer named as left.
type claim struct {
	left float64
	at   time.Time
}

// RecordLeft records the units that an answer names as left at the owner.
func (c *claim) RecordLeft(now time.Time, left float64) { *c = claim{left: left, at: now} }

// Claim returns the units that a new owner may begin with, since the former one has not granted them.
func (c *claim) Claim(now time.Time) (units float64) {
	if now.Sub(c.at) > claimAge {
		return 0
	}
	return max(claimShare*c.left, 0)
}
