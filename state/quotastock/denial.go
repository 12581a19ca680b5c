package quotastock

import "time"

// denialTime is the longest time for which a denial stands for later requests: others may return units.
const denialTime = 50 * time.Millisecond

// denial is the last denial of usage.
type denial struct {
	units      float64
	at, until  time.Time
	retryAfter time.Duration
}

// Deny records that units are denied: there is room after wait, and callers are to return after retryAfter.
func (d *denial) Deny(now time.Time, units float64, wait, retryAfter time.Duration) {
	*d = denial{units: units, at: now, until: now.Add(min(wait, denialTime)), retryAfter: retryAfter}
}

// Denied reports whether units would be denied again, and after which time callers are to return.
func (d *denial) Denied(now time.Time, units float64) (retryAfter time.Duration, denied bool) {
	if units < d.units || !now.Before(d.until) {
		return 0, false
	}
	return max(d.retryAfter-now.Sub(d.at), 0), true
}
