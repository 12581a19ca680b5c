package slots

import (
	"math"
	"time"

	"shallotring.dev/state/ident"
)

const (
	// memory is the time constant of the decaying demand, long enough to rank the tail.
	memory = 60 * time.Second
	// patience is the number of missed uses from which the demand is taken to have ended: at a steady demand, a gap of this
	// many mean intervals is rare.
	patience = 3.0
	// historyPerSlot bounds the adapters whose demand is remembered after their eviction.
	historyPerSlot = 64
	// forgotten is the demand below which an entry is dropped.
	forgotten = 0.02
)

// count is a number of requests that decays with time.
type count struct {
	value   float64
	updated time.Time
}

func (c count) at(now time.Time) float64 {
	return c.value * math.Exp(-max(now.Sub(c.updated), 0).Seconds()/memory.Seconds())
}

// history remembers the demand for resident and recently evicted adapters.
type history struct {
	limit  int
	counts map[ident.AdapterVersion]count
}

func newHistory(capacity int) history {
	return history{limit: max(capacity, 1) * historyPerSlot, counts: make(map[ident.AdapterVersion]count)}
}

func (h *history) add(now time.Time, av ident.AdapterVersion) {
	c, ok := h.counts[av]
	if !ok && len(h.counts) >= h.limit {
		h.shrink(now)
	}
	h.counts[av] = count{value: c.at(now) + 1, updated: now}
}

func (h *history) rate(now time.Time, av ident.AdapterVersion) float64 {
	c := h.counts[av]
	missed := c.value / memory.Seconds() * max(now.Sub(c.updated), 0).Seconds()
	return c.at(now) / memory.Seconds() * math.Exp(-max(missed-patience, 0))
}

// shrink raises the threshold until a quarter of the limit is free, so that its cost is spread over many additions.
func (h *history) shrink(now time.Time) {
	for threshold := forgotten; len(h.counts) > h.limit*3/4; threshold *= 2 {
		for av, c := range h.counts {
			if c.at(now) < threshold {
				delete(h.counts, av)
			}
		}
	}
}
