package frontend

import (
	"net/http"
	"testing"
)

// TestInvalidStatusIsNotForwarded guards against a response whose status is none of HTTP and that reaches a caller as the result of its request.
func TestInvalidStatusIsNotForwarded(t *testing.T) {
	for _, status := range []string{"000", "001", "042", "099", "+20", "101"} {
		for _, path := range []string{"/once/", "/stream/", "/again/"} {
			t.Run(status+" "+path, func(t *testing.T) {
				t.Parallel()
				b := newBackend(t, respondRaw("HTTP/1.1 "+status+" Status\r\nShallotring-Attempt-Id: ID\r\nShallotring-Server-Seal: s\r\n"+
					"Content-Type: text/event-stream\r\nContent-Length: 9\r\n\r\ndata: a\n\n", false))
				_, address := newFrontend(t, b)
				if code, body, _, err := sendRequest(t, address, path, "r1"); code != http.StatusBadGateway || body != "" || err != nil {
					t.Errorf("response = %d %q %v, want 502", code, body, err)
				}
				if n := b.runCount("r1"); n != 1 {
					t.Errorf("%d runs", n)
				}
			})
		}
	}
}
