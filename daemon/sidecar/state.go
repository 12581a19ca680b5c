package sidecar

import "shallotring.dev/protocol/control"

// equalExceptPromptRate reports whether two states are equal apart from the prompt rate. A difference in the numbers of requests makes
// them unequal, though these numbers change with each request.
func equalExceptPromptRate(a, b control.State) bool {
	if !a.Holdings.Equal(b.Holdings) {
		return false
	}
	a.Holdings, b.Holdings = nil, nil
	a.PromptRate, b.PromptRate = 0, 0
	return a == b
}
