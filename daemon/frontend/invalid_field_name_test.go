package frontend

import (
	"net/http"
	"strings"
	"testing"
)

// TestInvalidFieldNameIsNotForwarded guards against a response with a field whose name HTTP does not allow and that reaches a caller, with that
// field or with a body that ends where another field says.
func TestInvalidFieldNameIsNotForwarded(t *testing.T) {
	const (
		event  = "data: a\n\n"
		chunks = "9\r\n" + event + "\r\n0\r\n\r\n"
		length = "Content-Length: 9\r\n\r\n" + event
	)
	for _, x := range []struct{ name, rest string }{
		{"space inside", "X Y: v\r\n" + length},
		{"space at the end", "X : v\r\n" + length},
		{"space at the end of the length", "Content-Length : 4\r\n\r\n" + event},
		{"space at the end of the length beside chunks", "Content-Length : 4\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks},
		{"space at the end of the transfer encoding", "Transfer-Encoding : chunked\r\n\r\n" + chunks},
		{"space inside the transfer encoding", "Transfer Encoding: chunked\r\n\r\n" + chunks},
		{"space inside the transfer encoding beside a length", "Transfer Encoding: chunked\r\nContent-Length: 19\r\n\r\n" + chunks},
		{"control byte", "X\x01Y: v\r\n" + length},
		{"tab", "X\t: v\r\n" + length},
		{"DEL", "X\x7f: v\r\n" + length},
		{"byte above 127", "X\xe9: v\r\n" + length},
		{"no name", ": v\r\n" + length},
	} {
		for _, path := range []string{"/once/", "/stream/"} {
			for _, contentType := range []string{"text/plain", "text/event-stream"} {
				t.Run(strings.Join([]string{x.name, path, contentType}, " "), func(t *testing.T) {
					t.Parallel()
					b := newBackend(t, respondRaw("HTTP/1.1 200 OK\r\nShallotring-Attempt-Id: ID\r\nShallotring-Server-Seal: s\r\nContent-Type: "+contentType+"\r\n"+x.rest, false))
					_, address := newFrontend(t, b)
					if code, body, h, err := sendRequest(t, address, path, "r1"); code != http.StatusBadGateway || body != "" || err != nil {
						t.Errorf("response = %d %q %q %v, want 502", code, h, body, err)
					}
					if n := b.runCount("r1"); n != 1 {
						t.Errorf("%d runs", n)
					}
				})
			}
		}
	}
}
