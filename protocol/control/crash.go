package control

import (
	"maps"
	"slices"

	"shallotring.dev/state/ident"
	"shallotring.dev/state/quarantine"
)

// Interruption reports requests that an engine's connections broke off; it is sent when an entry observes such requests.
type Interruption struct {
	// AgeMilli is the time since the first of them was broken off.
	AgeMilli int64 `json:",omitempty"`
	Requests int
	Suspects []quarantine.Suspect
}

// Crash is the end of an incarnation of the agent's engine with requests in progress, as all entries have reported it.
type Crash struct {
	Endpoint ident.Endpoint
	Born     int64
	Interruption
}

// Crashes is a list that does not change.
type Crashes struct {
	List []Crash
}

// Equal reports whether two lists have the same crashes with as much known of each.
func (c *Crashes) Equal(x *Crashes) bool { return maps.Equal(c.sizes(), x.sizes()) }

// unsent returns the crashes of which less or nothing has been sent.
func (c *Crashes) unsent(sent map[int64]int) (list *Crashes) {
	if c == nil {
		return nil
	}
	list = &Crashes{List: slices.DeleteFunc(slices.Clone(c.List), func(x Crash) bool { return sent[x.Born] >= x.size() })}
	if len(list.List) == 0 {
		return nil
	}
	return list
}

// sizes has the size of each crash by the start time of its incarnation.
func (c *Crashes) sizes() map[int64]int {
	if c == nil {
		return nil
	}
	sizes := make(map[int64]int, len(c.List))
	for _, x := range c.List {
		sizes[x.Born] = x.size()
	}
	return sizes
}

// size grows with what is known of the crash.
func (c Crash) size() int { return 1 + c.Requests + len(c.Suspects) }
