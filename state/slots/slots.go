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
	// gracePeriod is the time after a load in which an unused adapter is not evicted, so that the request that needs it has
	// time to start.
	gracePeriod = 2 * time.Second
	// initialLoadTime is assumed until a load at this engine has been measured.
	initialLoadTime = 250 * time.Millisecond
)

// slot is the state of one adapter that occupies a slot of the engine.
type slot struct {
	state       State
	inUse       int
	loadStarted time.Time
	loadedAt    time.Time
	loadTime    time.Duration
	// used is set once a try has used the adapter since its load.
	used bool
}

// Slots tracks the adapter slots of one engine. It is not safe for concurrent use.
type Slots struct {
	capacity int
	slots    map[ident.AdapterVersion]*slot
	history  history
}

// New returns the state of an engine with the given number of slots, all of them free.
func New(capacity int) *Slots {
	return &Slots{capacity: capacity, slots: make(map[ident.AdapterVersion]*slot), history: newHistory(capacity)}
}

// Capacity returns the number of slots.
func (s *Slots) Capacity() int { return s.capacity }

// Resize changes the number of slots. Adapters beyond it stay until they are evicted.
func (s *Slots) Resize(capacity int) {
	s.capacity, s.history.maxAdapters = capacity, maxHistory(capacity)
}

// Free returns the number of free slots; it is negative while more adapters are held than there are slots.
func (s *Slots) Free() int { return s.capacity - len(s.slots) }

// State returns the state of an adapter.
func (s *Slots) State(av ident.AdapterVersion) State {
	if h, ok := s.slots[av]; ok {
		return h.state
	}
	return Absent
}

// InUse returns the number of running tries that use the adapter.
func (s *Slots) InUse(av ident.AdapterVersion) int {
	if h, ok := s.slots[av]; ok {
		return h.inUse
	}
	return 0
}

// Pinned returns the number of slots that cannot be freed now, because a try uses them or a load or unload is in flight.
func (s *Slots) Pinned() (n int) {
	for _, h := range s.slots {
		if h.state != Resident || h.inUse > 0 {
			n++
		}
	}
	return n
}

// Acquire pins a resident adapter for one running try; it reports false if the adapter is not resident.
func (s *Slots) Acquire(_ time.Time, av ident.AdapterVersion) bool {
	h, ok := s.slots[av]
	if !ok || h.state != Resident {
		return false
	}
	h.inUse++
	h.used = true
	return true
}

// Release ends the use of an adapter by one try.
func (s *Slots) Release(_ time.Time, av ident.AdapterVersion) {
	if h, ok := s.slots[av]; ok && h.inUse > 0 {
		h.inUse--
	}
}

// BeginLoad reserves a free slot for an adapter; it reports false if there is none or the adapter already has one.
func (s *Slots) BeginLoad(now time.Time, av ident.AdapterVersion) bool {
	if s.Free() <= 0 || s.State(av) != Absent {
		return false
	}
	s.Reserve(now, av)
	return true
}

// Reserve records that the engine may load an adapter, although no slot may be free.
func (s *Slots) Reserve(now time.Time, av ident.AdapterVersion) {
	s.slots[av] = &slot{state: Loading, loadStarted: now, loadTime: initialLoadTime}
}

// Loaded records that the engine lists the adapter as loaded.
func (s *Slots) Loaded(now time.Time, av ident.AdapterVersion) {
	h, ok := s.slots[av]
	if !ok {
		h = &slot{loadTime: initialLoadTime}
		s.slots[av] = h
	}
	if h.state == Loading {
		h.loadTime = max(now.Sub(h.loadStarted), time.Millisecond)
	}
	h.state = Resident
	h.loadedAt = now
}

// BeginUnload marks an adapter as being evicted; it reports false if the adapter is in use or not resident.
func (s *Slots) BeginUnload(av ident.AdapterVersion) bool {
	h, ok := s.slots[av]
	if !ok || h.state != Resident || h.inUse > 0 {
		return false
	}
	h.state = Unloading
	return true
}

// Drop frees the slot of an adapter after a failed load or a finished unload.
func (s *Slots) Drop(av ident.AdapterVersion) { delete(s.slots, av) }

// Reset frees all slots, for example after a restart of the engine; the recorded demand is retained.
func (s *Slots) Reset() { clear(s.slots) }

// RecordDemand records a request for the adapter.
func (s *Slots) RecordDemand(now time.Time, av ident.AdapterVersion) { s.history.add(now, av) }

// Rate returns the decaying demand for an adapter at this engine in requests per second.
func (s *Slots) Rate(now time.Time, av ident.AdapterVersion) float64 { return s.history.rate(now, av) }

// Victim returns the adapter whose eviction costs least, which is the one with the lowest demand times load time; ok is false if
// every adapter is in use, being loaded or unloaded, or protected.
func (s *Slots) Victim(now time.Time) (av ident.AdapterVersion, ok bool) {
	return s.VictimExcept(now, func(ident.AdapterVersion) bool { return false })
}

// VictimExcept is like Victim but skips the adapters that excluded selects, such as those that waiting requests are about to use.
func (s *Slots) VictimExcept(now time.Time, excluded func(ident.AdapterVersion) bool) (av ident.AdapterVersion, ok bool) {
	var lowestCost float64
	for x, h := range s.slots {
		if h.state != Resident || h.inUse > 0 || h.protected(now) || excluded(x) {
			continue
		}
		cost := s.history.rate(now, x) * h.loadTime.Seconds()
		if !ok || cost < lowestCost || (cost == lowestCost && less(x, av)) {
			av, lowestCost, ok = x, cost, true
		}
	}
	return av, ok
}

// Each calls fn for each adapter that occupies a slot, in no particular order.
func (s *Slots) Each(fn func(av ident.AdapterVersion, state State, inUse int)) {
	for av, h := range s.slots {
		fn(av, h.state, h.inUse)
	}
}

// protected reports whether the adapter has been loaded recently and not been used yet.
func (h *slot) protected(now time.Time) bool { return !h.used && now.Sub(h.loadedAt) < gracePeriod }

// less orders adapters by name and version, so that the choice among equal costs is deterministic.
func less(x, y ident.AdapterVersion) bool {
	return cmp.Or(cmp.Compare(x.Adapter, y.Adapter), cmp.Compare(x.Version, y.Version)) < 0
}
