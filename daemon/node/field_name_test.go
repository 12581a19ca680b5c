package node

import (
	"testing"

	"shallotring.dev/coordination/configuration"
	"shallotring.dev/protocol/wire"
	"shallotring.dev/standin/rawserver"
	"shallotring.dev/transport/settings"
	"shallotring.dev/transport/timeline"
)

// TestInvalidFieldNameIsNoAnswerOfAPeer guards against the word of an entry or agent in a response whose head HTTP does not allow.
func TestInvalidFieldNameIsNoAnswerOfAPeer(t *testing.T) {
	p, err := Connect(Service{KeyValue: []string{"http://127.0.0.1:1"}}, configuration.Identity{}, settings.TLS{}, timeline.Discard())
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range []string{"X Y: v", "X : v", "Content-Length : 0", "X\x01: v"} {
		address := rawserver.Start(t, rawserver.Respond("HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\n"+line+"\r\n\r\n"))
		if r, err := p.Entry(address).InForce(t.Context(), &wire.InForceRequest{}); err == nil {
			t.Errorf("line %q: entry says %v", line, r)
		}
		if r, err := p.Agent(address).InForce(t.Context(), &wire.InForceRequest{}); err == nil {
			t.Errorf("line %q: agent says %v", line, r)
		}
	}
}
