package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"shallotring.dev/standin/rawserver"
)

// TestLargeBodyAndClosedConnection guards against the end of the process when a server closes the connection in the moment in which a large body
// has been written, and against a data race between the two.
func TestLargeBodyAndClosedConnection(t *testing.T) {
	const size = 4 * largeBodyBytes
	p := New(rawserver.Start(t, func(c net.Conn) { io.CopyN(io.Discard, c, size) }))
	for range 300 {
		if response, err := p.Do(context.Background(), Request{Method: http.MethodPost, Target: "/", Host: "x", Body: make([]byte, size), HasBody: true}); err == nil {
			response.Close()
			t.Fatal("a response although the server sends none")
		}
	}
}
