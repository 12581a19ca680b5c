package slots

import (
	"math"
	"time"

	"shallotring.dev/state/ident"
)

const (
	// demandTimeConstant is the time constant with which the demand decays, long enough to rank rarely used adapters.
	demandTimeConstant = 60 * time.Second
	// toleratedMissedUses is the number of missed uses from which the demand is assumed to have ended: at a steady demand, a gap
	// of this many mean intervals is rare.
	toleratedMissedUses = 3.0
	// historyPerSlot bounds the adapters whose demand is recorded, per slot of the engine; this includes evicted adapters.
	historyPerSlot = 64
	// minRetainedDemand is the demand below which an adapter is removed from the history first.
	minRetainedDemand = 0.02
)

// decayingCount is a number of requests that decays with time.
type decayingCount struct {
	value   float64
	updated time.Time
}

func (c decayingCount) at(now time.Time) float64 {
	return c.value * math.Exp(-max(now.Sub(c.updated), 0).Seconds()/demandTimeConstant.Seconds())
}

// history records the demand for resident and recently evicted adapters.
type history struct {
	maxAdapters int
	counts      map[ident.AdapterVersion]decayingCount
}

func newHistory(capacity int) history {
	return history{maxAdapters: maxHistory(capacity), counts: make(map[ident.AdapterVersion]decayingCount)}
}

// maxHistory returns the number of adapters whose demand is recorded at an engine with a number of slots.
func maxHistory(capacity int) int { return max(capacity, 1) * historyPerSlot }

func (h *history) add(now time.Time, av ident.AdapterVersion) {
	c, ok := h.counts[av]
	if !ok && len(h.counts) >= h.maxAdapters {
		h.shrink(now)
	}
	h.counts[av] = decayingCount{value: c.at(now) + 1, updated: now}
}

// rate returns the demand in requests per second; it falls faster once more uses are missed than tolerated.
func (h *history) rate(now time.Time, av ident.AdapterVersion) float64 {
	c := h.counts[av]
	missed := c.value / demandTimeConstant.Seconds() * max(now.Sub(c.updated), 0).Seconds()
	return c.at(now) / demandTimeConstant.Seconds() * math.Exp(-max(missed-toleratedMissedUses, 0))
}

// shrink removes the adapters with the lowest demand until a quarter of maxAdapters is free, so that its cost is spread over many
// additions.
func (h *history) shrink(now time.Time) {
	for threshold := minRetainedDemand; len(h.counts) > h.maxAdapters*3/4; threshold *= 2 {
		for av, c := range h.counts {
			if c.at(now) < threshold {
				delete(h.counts, av)
			}
		}
	}
}
