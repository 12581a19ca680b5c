package slots

import (
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

// slot is the bookkeeping of one adapter that takes a place in the engine.
type slot struct {
	state    State
	inUse    int
	loadedAt time.Time
	lastUsed time.Time
	used     bool
}

// Slots is the view of one engine's adapter slots; it belongs to one goroutine.
type Slots struct {
	capacity int
	held     map[ident.AdapterVersion]*slot
}

// New returns an empty view of an engine with the given number of slots.
func New(capacity int) *Slots {
	return &Slots{capacity: capacity, held: make(map[ident.AdapterVersion]*slot)}
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

// Acquire pins a resident adapter for one running try; it reports false if the adapter is not resident.
func (s *Slots) Acquire(now time.Time, av ident.AdapterVersion) bool {
	h, ok := s.held[av]
	if !ok || h.state != Resident {
		return false
	}
	h.inUse++
	h.used = true
	h.lastUsed = now
	return true
}

// Release ends the use of an adapter by one try.
func (s *Slots) Release(now time.Time, av ident.AdapterVersion) {
	if h, ok := s.held[av]; ok && h.inUse > 0 {
		h.inUse--
		h.lastUsed = now
	}
}

// BeginLoad takes a free slot for an adapter; it reports false if there is none or the adapter already has one.
func (s *Slots) BeginLoad(now time.Time, av ident.AdapterVersion) bool {
	if s.Free() <= 0 || s.State(av) != Absent {
		return false
	}
	s.held[av] = &slot{state: Loading, lastUsed: now}
	return true
}

// Loaded records that the engine lists the adapter.
func (s *Slots) Loaded(now time.Time, av ident.AdapterVersion) {
	h, ok := s.held[av]
	if !ok {
		h = &slot{}
		s.held[av] = h
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

// Reset forgets everything, as after a restart of the engine.
func (s *Slots) Reset() { clear(s.held) }

// Demand records that a request asked for the adapter.
func (s *Slots) Demand(now time.Time, av ident.AdapterVersion) {
	if h, ok := s.held[av]; ok {
		h.lastUsed = now
	}
}

// Victim returns the adapter to evict next; ok is false if every adapter is in use, loading or protected.
func (s *Slots) Victim(now time.Time) (av ident.AdapterVersion, ok bool) {
	var oldest time.Time
	for x, h := range s.held {
		if h.state != Resident || h.inUse > 0 {
			continue
		}
		if !ok || h.lastUsed.Before(oldest) || (h.lastUsed.Equal(oldest) && x.String() < av.String()) {
			av, oldest, ok = x, h.lastUsed, true
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
