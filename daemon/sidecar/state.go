package sidecar

import "shallotring.dev/protocol/control"

// same reports whether two states tell an entry the same; the load is compared as well, since it changes with each request. The
// rate of prompts alone is no reason for a message.
func same(a, b control.State) bool {
	if !a.Holdings.Equal(b.Holdings) {
		return false
	}
	a.Holdings, b.Holdings = nil, nil
	a.PromptRate, b.PromptRate = 0, 0
	return a == b
}
