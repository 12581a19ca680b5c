package entry

import (
	"testing"

	"shallotring.dev/protocol/wire"
	"shallotring.dev/standin/rawserver"
)

// TestInvalidFieldNameSettlesNothing guards against the word of an agent, for example that a try has not run, in a response whose head HTTP does
// not allow.
func TestInvalidFieldNameSettlesNothing(t *testing.T) {
	e := startEntry(t, testSettings(), twoAgents(t))
	for _, line := range []string{"X Y: v", "X : v", "Content-Length : 0", "X\x01: v"} {
		agent := e.agentClient(rawserver.Start(t, rawserver.Respond("HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\n"+line+"\r\n\r\n")))
		if r, err := agent.Settle(t.Context(), &wire.SettleRequest{}); err == nil {
			t.Errorf("line %q: settlement %v", line, r)
		}
	}
}
