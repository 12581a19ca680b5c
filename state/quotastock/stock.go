package quotastock

import (
	"math"
	"slices"
	"time"
)

const (
	// maxValidity and minValidity bound the time for which granted units may be used, counted from the question. What an entry holds of an earlier time
	// adds to what all are granted in the present one. A question and its answer take some milliseconds.
	maxValidity, minValidity = 600 * time.Millisecond, 50 * time.Millisecond
	// validityShare and burstShare are the parts of the tolerance that granted units and the beginning of an entry's own share may take.
	validityShare, burstShare = 0.75, 0.25
	// returnShare is the part of the validity after which unused units are returned, and horizonShare that for which the stock is to last at the recent
	// usage.
	returnShare, horizonShare = 0.7, 0.4
	// usageTime is the time constant of the recent usage.
	usageTime = 500 * time.Millisecond
	// minRequests is the number of requests that a stock has to be good for; a smaller one expires more often than it is used.
	minRequests = 2
)

// Stock holds the unused units of one tenant at one entry. It is not safe for concurrent use.
type Stock struct {
	validity time.Duration
	lots     []lot
	// used and requests are decaying sums of the units and requests, as of usedAt.
	used     float64
	requests float64
	usedAt   time.Time
	claim
	denial
	share
}

// lot has units that were asked for at a time.
type lot struct {
	units   float64
	askedAt time.Time
}

// New returns an empty stock. The tolerance is the time for which a tenant may use its rate beyond the quota in a window.
func New(tolerance time.Duration) *Stock {
	return &Stock{
		validity: min(max(part(tolerance, validityShare), minValidity), maxValidity),
		share:    share{burst: min(part(tolerance, burstShare), part(maxValidity, horizonShare))},
	}
}

func part(d time.Duration, share float64) time.Duration { return time.Duration(share * float64(d)) }

// Add adds units that were asked for at a time.
func (s *Stock) Add(units float64, askedAt time.Time) {
	if units > 0 {
		s.lots = append(s.lots, lot{units, askedAt})
	}
}

// Take takes the units of one request, the oldest first; ok is false and nothing is taken if the stock has less.
func (s *Stock) Take(now time.Time, units float64) (ok bool) {
	if s.Level(now) < units {
		return false
	}
	for units > 0 && len(s.lots) > 0 {
		n := min(units, s.lots[0].units)
		units -= n
		if s.lots[0].units -= n; s.lots[0].units <= 0 {
			s.lots = s.lots[1:]
		}
	}
	return true
}

// Level returns the units that may be used now.
func (s *Stock) Level(now time.Time) (units float64) {
	s.lots = slices.DeleteFunc(s.lots, func(l lot) bool { return now.Sub(l.askedAt) >= s.validity })
	for _, l := range s.lots {
		units += l.units
	}
	return units
}

// RecordUsage records the units of a request that was charged, from the stock or not.
func (s *Stock) RecordUsage(now time.Time, units float64) {
	s.decay(now)
	s.used += units
	s.requests++
}

// Shortage returns the units to ask for ahead; it is 0 while the stock lasts, or if there are too few requests to hold one for.
func (s *Stock) Shortage(now time.Time) (units float64) {
	s.decay(now)
	share := horizonShare * s.validity.Seconds() / usageTime.Seconds()
	if s.requests*share < minRequests {
		return 0
	}
	target := s.used * share
	if level := s.Level(now); level < target/2 {
		units = target - level
	}
	return units
}

// Unneeded takes and returns the units that are not expected to be used while they are valid.
func (s *Stock) Unneeded(now time.Time) (units float64) {
	s.Level(now)
	s.lots = slices.DeleteFunc(s.lots, func(l lot) bool {
		old := now.Sub(l.askedAt) >= part(s.validity, returnShare)
		if old {
			units += l.units
		}
		return old
	})
	return units
}

func (s *Stock) decay(now time.Time) {
	if elapsed := now.Sub(s.usedAt); elapsed > 0 {
		factor := math.Exp(-elapsed.Seconds() / usageTime.Seconds())
		s.used *= factor
		s.requests *= factor
		s.usedAt = now
	}
}
