package frontend

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
)

// TestErrorDoesNotFollowABrokenStream guards against a stream that breaks off and is continued with the response of another endpoint, and
// against one that looks complete then.
func TestErrorDoesNotFollowABrokenStream(t *testing.T) {
	const (
		head   = "HTTP/1.1 200 OK\r\nShallotring-Attempt-Id: ID\r\nShallotring-Server-Seal: s\r\nContent-Type: text/event-stream\r\n"
		event  = "id: 1\ndata: first\n\n"
		failed = "the other endpoint failed"
	)
	for _, x := range []struct {
		name, response string
		reset          bool
	}{
		{"before the head", "", true},
		{"inside the head", head, true},
		{"after the head", head + "Connection: close\r\n\r\n", true},
		{"after the head, in an orderly way", head + "Connection: close\r\n\r\n", false},
		{"after a chunked head", head + "Transfer-Encoding: chunked\r\n\r\n", false},
		{"inside the first event", head + "Connection: close\r\n\r\n" + event[:8], false},
		{"after an event", head + "Connection: close\r\n\r\n" + event, true},
		{"after a chunk", head + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n", len(event), event), false},
		{"inside a body with a length", head + "Content-Length: 1000\r\n\r\n" + event, false},
	} {
		for _, path := range []string{"/once/", "/stream/", "/again/"} {
			t.Run(x.name+" "+path, func(t *testing.T) {
				t.Parallel()
				broken := newBackend(t, respondRaw(x.response, x.reset))
				failing := newBackend(t, func(b *backend, w http.ResponseWriter, r *http.Request) {
					b.recordRun(r)
					seal(w, r)
					w.WriteHeader(http.StatusInternalServerError)
					io.WriteString(w, failed)
				})
				_, address := newFrontend(t, broken, failing)
				for i := 0; broken.runCount("r") == 0; i++ {
					id := "r"
					code, body, h, err := sendRequest(t, address, path, id)
					if broken.runCount(id) == 0 {
						continue
					}
					switch {
					case code == http.StatusOK && (err == nil || strings.Contains(body, failed) || strings.Contains(body, "HTTP/1.1")):
						t.Errorf("response = 200 %q %v after a broken stream", body, err)
					case code == http.StatusInternalServerError && (body != failed || h.Get("Content-Type") == "text/event-stream"):
						t.Errorf("response = 500 %q with type %q", body, h.Get("Content-Type"))
					case code != http.StatusOK && code != http.StatusInternalServerError && (code != http.StatusBadGateway || body != ""):
						t.Errorf("response = %d %q %v", code, body, err)
					}
					if runs := failing.runCount(id); path != "/again/" && i == 0 && runs > 0 {
						t.Errorf("the request ran at %d other endpoints", runs)
					}
				}
			})
		}
	}
}
