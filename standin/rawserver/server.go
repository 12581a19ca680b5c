package rawserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

// Start calls handle for each connection to an address of its own and closes the connection after it.
func Start(t testing.TB, handle func(c net.Conn)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				handle(c)
				_ = c.Close()
			}()
		}
	}()
	return l.Addr().String()
}

// Respond returns a handler that reads one request with its body and sends a response as given.
func Respond(response string) func(c net.Conn) {
	return func(c net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		if _, err = io.Copy(io.Discard, r.Body); err == nil {
			io.WriteString(c, response)
		}
	}
}
