package control

import (
	"slices"

	"github.com/rotisserie/eris"

	"shallotring.dev/state/ident"
)

// Changes are the differences of holdings from those of the previous message on the connection.
type Changes struct {
	// Added and Removed are resident adapters, in the form name@version.
	Added   []string `json:",omitempty"`
	Removed []string `json:",omitempty"`
	// Loading lists all adapters that are being loaded.
	Loading []string `json:",omitempty"`
}

// StateWriter turns the states of an engine into messages on one connection.
type StateWriter struct {
	sent State
	// sentCrashes has the size of each crash that was sent, by the start time of its incarnation.
	sentCrashes map[int64]int
	// Deltas is set if the other side understands messages that omit what is unchanged.
	Deltas bool
}

// promptRateTolerance is the difference of prompt rates, in tokens per second, that counts as unchanged: an engine reads some tens of
// thousands.
const promptRateTolerance = 1000

// same reports whether two states differ at most in the prompt rate.
func same(a, b State) bool {
	if a.Holdings == nil || !a.Holdings.Equal(b.Holdings) {
		return false
	}
	a.Holdings, b.Holdings, a.PromptRate, b.PromptRate = nil, nil, 0, 0
	return a == b
}

// Message returns the message for a state: holdings that are unchanged are omitted, and with Deltas so is everything else that is
// unchanged.
func (w *StateWriter) Message(s State) (message State) {
	crashes := s.Crashes
	s.Crashes = nil
	message = w.difference(s)
	message.Crashes = crashes.unsent(w.sentCrashes)
	w.sentCrashes = crashes.sizes()
	return message
}

// difference is Message without the crashes.
func (w *StateWriter) difference(s State) (message State) {
	previous := w.sent
	if w.Deltas && same(s, previous) {
		d := s.PromptRate - previous.PromptRate
		switch {
		case d <= promptRateTolerance && d >= -promptRateTolerance:
			return State{Same: true}
		case s.PromptRate != 0:
			w.sent.PromptRate = s.PromptRate
			return State{Same: true, PromptRate: s.PromptRate}
		}
	}
	w.sent, message = s, s
	switch {
	case s.Holdings.Equal(previous.Holdings):
		message.Holdings = nil
	case w.Deltas && previous.Holdings != nil && s.Holdings != nil && s.Holdings.equalModels(previous.Holdings):
		message.Holdings = nil
		message.Changes = &Changes{
			Added: missing(previous.Holdings.Resident, s.Holdings.Resident), Removed: missing(s.Holdings.Resident, previous.Holdings.Resident), Loading: texts(s.Holdings.Loading),
		}
	}
	if w.Deltas && s.Endpoint == previous.Endpoint && s.Born == previous.Born {
		message.Endpoint, message.Born = "", 0
	}
	return message
}

// StateReader restores the states from the messages on one connection.
type StateReader struct {
	state State
}

// State returns the state that a message describes; it fails if the first message has no holdings.
func (r *StateReader) State(message State) (s State, err error) {
	// Crashes are no part of the state that later messages refer to.
	crashes := message.Crashes
	message.Crashes = nil
	defer func() { s.Crashes = crashes }()
	if message.Holdings == nil && r.state.Holdings == nil {
		return s, eris.New("first message of the agent has no holdings")
	}
	if message.Same {
		if message.PromptRate != 0 {
			r.state.PromptRate = message.PromptRate
		}
		return r.state, nil
	}
	s = message
	s.Changes = nil
	if s.Endpoint == "" {
		s.Endpoint, s.Born = r.state.Endpoint, r.state.Born
	}
	switch c := message.Changes; {
	case s.Holdings != nil:
	case c == nil:
		s.Holdings = r.state.Holdings
	default:
		old := r.state.Holdings
		removed := adapters(c.Removed)
		h := &Holdings{Models: old.Models, Versions: old.Versions, Loading: adapters(c.Loading)}
		for _, av := range old.Resident {
			if !slices.Contains(removed, av) {
				h.Resident = append(h.Resident, av)
			}
		}
		h.Resident = append(h.Resident, adapters(c.Added)...)
		s.Holdings = h
	}
	r.state = s
	return s, nil
}

// missing lists the adapters of b that a does not have.
func missing(a, b []ident.AdapterVersion) (list []string) {
	for _, av := range b {
		if !slices.Contains(a, av) {
			list = append(list, av.String())
		}
	}
	return list
}

func texts(list []ident.AdapterVersion) (names []string) {
	for _, av := range list {
		names = append(names, av.String())
	}
	return names
}

func adapters(names []string) (list []ident.AdapterVersion) {
	for _, name := range names {
		list = append(list, ident.ParseAdapterVersion(name))
	}
	return list
}
