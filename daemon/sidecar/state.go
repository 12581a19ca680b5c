package sidecar

import "shallotring.dev/protocol/control"

// sameForEntries reports whether two states have the same content for an entry. The numbers of requests count, though they change
// with each request; a change of the prompt rate alone does not.
func sameForEntries(a, b control.State) bool {
	if !a.Holdings.Equal(b.Holdings) {
		return false
	}
	a.Holdings, b.Holdings = nil, nil
	a.PromptRate, b.PromptRate = 0, 0
	return a == b
}
