package server

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestAbortedResponseOverHTTP10 guards against an aborted response that looks complete to an HTTP/1.0 client, whatever wraps its connection.
func TestAbortedResponseOverHTTP10(t *testing.T) {
	abort := func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, "part")
		http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, drainable := startDrainableServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer ResetAborted(w, r)
		abort(w, r)
	}))
	for name, address := range map[string]string{"limited": startServer(t, abort).Addr(), "drainable": drainable} {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(testTimeout))
		io.WriteString(c, "GET / HTTP/1.0\r\n\r\n")
		if b, err := io.ReadAll(c); err == nil {
			t.Errorf("%s: the response %q looks complete", name, b)
		}
	}
}
