package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
)

// TestLargeBodyAndClosedConnection guards against the end of the process when a server closes the connection in the moment in which a large body
// has been written, and against a data race between the two.
func TestLargeBodyAndClosedConnection(t *testing.T) {
	const size = 4 * largeBodyBytes
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				io.CopyN(io.Discard, c, size)
			}()
		}
	}()
	p := New(l.Addr().String())
	for range 300 {
		if response, err := p.Do(context.Background(), Request{Method: http.MethodPost, Target: "/", Host: "x", Body: make([]byte, size), HasBody: true}); err == nil {
			response.Close()
			t.Fatal("a response although the server sends none")
		}
	}
}
