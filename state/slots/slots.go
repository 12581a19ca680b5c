package slots

import (
	"cmp"
	"time"

	"shallotring.dev/state/ident"
)

// State is the state of an adapter at one engine.
type State int

// States of an adapter.
const (
	Absent State = iota
	Loading
	Resident
	Unloading
)

const (
	// protection keeps a fresh adapter until the request that asked for it has had time to start.
	protection = 2 * time.Second
	// initialLoadTime is assumed until a load at this engine has been measured.
	initialLoadTime = 250 * time.Millisecond
)

// slot is the bookkeeping of one adapter that takes a place in the engine.
type slot struct {
	state    State
	inUse    int
	began    time.Time
	loadedAt time.Time
	loadTime time.Duration
	used     bool
}

// Slots is the view of one engine's adapter slots; it belongs to one goroutine.
type Slots struct {
	capacity int
	held     map[ident.AdapterVersion]*slot
	history  history
}

// New returns an empty view of an engine with the given number of slots.
func New(capacity int) *Slots {
	return &Slots{capacity: capacity, held: make(map[ident.AdapterVersion]*slot), history: newHistory(capacity)}
}

// Capacity returns the number of slots.
func (s *Slots) Capacity() int { return s.capacity }

// Free returns the number of slots that no adapter takes.
func (s *Slots) Free() int { return s.capacity - len(s.held) }

// State returns the state of an adapter.
func (s *Slots) State(av ident.AdapterVersion) State {
	if h, ok := s.held[av]; ok {
		return h.state
	}
	return Absent
}

// InUse returns the number of running tries that use the adapter.
func (s *Slots) InUse(av ident.AdapterVersion) int {
	if h, ok := s.held[av]; ok {
		return h.inUse
	}
	return 0
}

// Pinned returns the number of slots that cannot be emptied now, because a try uses them or a load or unload is in flight.
func (s *Slots) Pinned() (n int) {
	for _, h := range s.held {
		if h.state != Resident || h.inUse > 0 {
			n++
		}
	}
	return n
}

// Acquire pins a resident adapter for one running try; it reports false if the adapter is not resident.
func (s *Slots) Acquire(_ time.Time, av ident.AdapterVersion) bool {
	h, ok := s.held[av]
	if !ok || h.state != Resident {
		return false
	}
	h.inUse++
	h.used = true
	return true
}

// Release ends the use of an adapter by one try.
func (s *Slots) Release(_ time.Time, av ident.AdapterVersion) {
	if h, ok := s.held[av]; ok && h.inUse > 0 {
		h.inUse--
	}
}

// BeginLoad takes a free slot for an adapter; it reports false if there is none or the adapter already has one.
func (s *Slots) BeginLoad(now time.Time, av ident.AdapterVersion) bool {
	if s.Free() <= 0 || s.State(av) != Absent {
		return false
	}
	s.held[av] = &slot{state: Loading, began: now, loadTime: initialLoadTime}
	return true
}

// Loaded records that the engine lists the adapter.
func (s *Slots) Loaded(now time.Time, av ident.AdapterVersion) {
	h, ok := s.held[av]
	if !ok {
		h = &slot{loadTime: initialLoadTime}
		s.held[av] = h
	}
	if h.state == Loading {
		h.loadTime = max(now.Sub(h.began), time.Millisecond)
	}
	h.state = Resident
	h.loadedAt = now
}

// BeginUnload marks an adapter as being evicted; it reports false if the adapter is in use or not resident.
func (s *Slots) BeginUnload(av ident.AdapterVersion) bool {
	h, ok := s.held[av]
	if !ok || h.state != Resident || h.inUse > 0 {
		return false
	}
	h.state = Unloading
	return true
}

// Drop frees the slot of an adapter after a failed load or a finished unload.
func (s *Slots) Drop(av ident.AdapterVersion) { delete(s.held, av) }

// Reset forgets what is loaded, as after a restart of the engine; the demand stays known.
func (s *Slots) Reset() { clear(s.held) }

// Demand records that a request asked for the adapter.
func (s *Slots) Demand(now time.Time, av ident.AdapterVersion) { s.history.add(now, av) }

// Rate returns the decaying demand for an adapter at this engine in requests per second.
func (s *Slots) Rate(now time.Time, av ident.AdapterVersion) float64 { return s.history.rate(now, av) }

// Victim returns the adapter that is cheapest to reload, by demand times load time; ok is false if every adapter is in use,
// in transition or protected.
func (s *Slots) Victim(now time.Time) (av ident.AdapterVersion, ok bool) {
	return s.VictimExcept(now, func(ident.AdapterVersion) bool { return false })
}

// VictimExcept is Victim without the adapters that the caller keeps, such as those that waiting requests are about to use.
func (s *Slots) VictimExcept(now time.Time, keep func(ident.AdapterVersion) bool) (av ident.AdapterVersion, ok bool) {
	var least float64
	for x, h := range s.held {
		if h.state != Resident || h.inUse > 0 || h.protected(now) || keep(x) {
			continue
		}
		cost := s.history.rate(now, x) * h.loadTime.Seconds()
		if !ok || cost < least || (cost == least && before(x, av)) {
			av, least, ok = x, cost, true
		}
	}
	return av, ok
}

// Each calls fn for each adapter that takes a slot, in no particular order.
func (s *Slots) Each(fn func(av ident.AdapterVersion, state State, inUse int)) {
	for av, h := range s.held {
		fn(av, h.state, h.inUse)
	}
}

func (h *slot) protected(now time.Time) bool { return !h.used && now.Sub(h.loadedAt) < protection }

// before orders adapters so that equal costs give the same victim in each run.
func before(x, y ident.AdapterVersion) bool {
	return cmp.Or(cmp.Compare(x.Adapter, y.Adapter), cmp.Compare(x.Version, y.Version)) < 0
}
