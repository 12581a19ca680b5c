package sidecar

import "shallotring.dev/protocol/control"

// similar reports whether entries decide alike on two states: they differ at most in the prompt rate and slightly in the numbers of
// running requests and unread prompt tokens, which change with each request.
func similar(a, b control.State) bool {
	if !a.Holdings.Equal(b.Holdings) {
		return false
	}
	if d := a.Running - b.Running; d > b.Running/runningTolerance || d < -b.Running/runningTolerance {
		return false
	}
	if max(a.Unread, b.Unread)-min(a.Unread, b.Unread) > unreadTolerance {
		return false
	}
	a.Unread, b.Unread = 0, 0
	a.Holdings, b.Holdings = nil, nil
	a.PromptRate, b.PromptRate = 0, 0
	a.Running, b.Running = 0, 0
	if !a.Crashes.Equal(b.Crashes) {
		return false
	}
	a.Crashes, b.Crashes = nil, nil
	return a == b
}

// unreadTolerance is the difference of unread prompt tokens that counts as similar: engines read as many in about 50 ms, which is less than
// the age of the state.
const unreadTolerance = 2048

// runningTolerance is the inverse of the share by which the number of running requests may differ between similar states.
const runningTolerance = 4
