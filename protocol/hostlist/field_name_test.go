package hostlist

import (
	"testing"

	"shallotring.dev/standin/rawserver"
)

// TestInvalidFieldNameIsNoList guards against a list in a response whose head HTTP does not allow.
func TestInvalidFieldNameIsNoList(t *testing.T) {
	const body = `[{"Host":"a","Leaving":true}]`
	for _, line := range []string{"X Y: v", "X : v", "Content-Length : 29", "X\x01: v"} {
		client := New("http://" + rawserver.Start(t, rawserver.Respond("HTTP/1.1 200 OK\r\n"+line+"\r\n\r\n"+body)))
		if leaving, err := client.Leaving(t.Context(), "a"); leaving || err == nil {
			t.Errorf("line %q: leaving %t, error %v, want an error", line, leaving, err)
		}
		client.Close()
	}
}
