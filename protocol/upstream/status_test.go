package upstream

import (
	"net/http"
	"testing"

	"shallotring.dev/standin/rawserver"
)

// TestInvalidStatusIsNoResponse guards against a response whose status is none of HTTP and that reaches the reader of the response, for which
// it is neither a success nor an error.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "001", "042", "099", "+20", "-00", "101", "20", "2000", "abc", ""} {
		p := New(rawserver.Start(t, rawserver.Respond("HTTP/1.1 "+status+" Status\r\nContent-Length: 2\r\n\r\nok")))
		if got, body, err := send(t, p); err == nil || Unsent(err) {
			t.Errorf("status %q: response %d %q, error %v, want an error of a request that was sent", status, got, body, err)
		}
		p.Close()
	}
	// Readers take statuses above 599, which HTTP does not define, for those of a server error.
	for _, status := range []string{"200", "204", "304", "404", "599", "999"} {
		p := New(rawserver.Start(t, rawserver.Respond("HTTP/1.1 "+status+"\r\nContent-Length: 0\r\n\r\n")))
		if got, _, err := send(t, p); err != nil || got < http.StatusOK {
			t.Errorf("status %q: response %d, error %v", status, got, err)
		}
		p.Close()
	}
}
