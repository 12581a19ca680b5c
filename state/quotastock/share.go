package quotastock

import (
	"time"

	"shallotring.dev/state/tokenbucket"
)

// shareMemory is the time without use after which a share begins anew.
const shareMemory = 10 * time.Second

// share has the units that an entry uses while nobody grants any.
type share struct {
	// burst is the time whose units are there when the share comes into use.
	burst   time.Duration
	bucket  *tokenbucket.Bucket
	takenAt time.Time
}

// TakeShare takes units from a share of the limit, in units per second; wait is the time until there are as many if ok is false.
func (s *share) TakeShare(now time.Time, units, perSecond float64) (wait time.Duration, ok bool) {
	if s.bucket == nil || now.Sub(s.takenAt) > shareMemory {
		s.bucket = tokenbucket.New(now.Add(-s.burst))
	}
	s.takenAt = now
	// Each entry would let one large request pass ahead of its share if the capacity were smaller.
	s.bucket.SetLimit(now, perSecond, max(perSecond*s.burst.Seconds(), units))
	return s.bucket.Reserve(now, units, 0)
}
