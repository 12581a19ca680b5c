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

// TestBodyMemoryIsBounded guards against slow request bodies that exhaust the memory of an agent, and against an agent that no
// longer serves tries after such a body.
func TestBodyMemoryIsBounded(t *testing.T) {
	s := startAgent(t, resource.Engine)
	served := func(id ident.RequestID) bool {
		_, last, err := s.run(s.request(id, "a1"))
		return errors.Is(err, io.EOF) && last.GetEnd().GetOutcome() == wire.Outcome_OUTCOME_COMPLETED
	}
	if !served("r0") {
		t.Fatal("no try is served")
	}
	waitForBodyBytes := func(want int64) {
		for s.agent.bodyBytes.Load() != want {
			time.Sleep(time.Millisecond)
		}
	}
	waitForBodyBytes(0)
	c, err := net.Dial("tcp", s.agent.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	// One byte remains of the memory that the settings allow.
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\nx", RunPath, server.PeerBodyBytes-1)
	waitForBodyBytes(server.PeerBodyBytes - 1)
	if _, _, err = s.run(s.request("r1", "a1")); err == nil || err.Error() != string(outcome.QueueFull) {
		t.Errorf("a try that exceeds BodyBytesTotal: %v", err)
	}
	// The rest of the body is sent, because net/http keeps a connection with an unread body open for a while after the test.
	if _, err = c.Write(bytes.Repeat([]byte("x"), server.PeerBodyBytes-2)); err != nil {
		t.Fatal(err)
	}
	waitForBodyBytes(0)
	if !served("r2") {
		t.Error("no try is served after the body has been received")
	}
}
