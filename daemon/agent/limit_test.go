package agent

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"shallotring.dev/protocol/wire"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/outcome"
	"shallotring.dev/state/resource"
	"shallotring.dev/transport/server"
)

// Guards against bodies that never end and take the memory of an agent, and against a try that is lost meanwhile.
func TestBodiesAreBounded(t *testing.T) {
	s := start(t, resource.Engine)
	served := func(id ident.RequestID) bool {
		_, last, err := s.run(s.request(id, "a1"))
		return errors.Is(err, io.EOF) && last.GetEnd().GetOutcome() == wire.Outcome_OUTCOME_COMPLETED
	}
	if !served("r0") {
		t.Fatal("no try is served")
	}
	held := func(want int64) {
		for s.agent.bodies.Load() != want {
			time.Sleep(time.Millisecond)
		}
	}
	held(0)
	c, err := net.Dial("tcp", s.agent.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	// One byte is left of the memory that the settings allow.
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\nx", RunPath, server.PeerBodyBytes-1)
	held(server.PeerBodyBytes - 1)
	if _, _, err = s.run(s.request("r1", "a1")); err == nil || err.Error() != string(outcome.QueueFull) {
		t.Errorf("a try past the memory of all bodies: %v", err)
	}
	// The rest is sent, because net/http keeps a connection with an unread body for a while after the end of the test.
	if _, err = c.Write(bytes.Repeat([]byte("x"), server.PeerBodyBytes-2)); err != nil {
		t.Fatal(err)
	}
	held(0)
	if !served("r2") {
		t.Error("no try is served after the body is gone")
	}
}
