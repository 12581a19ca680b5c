package hostlist

import (
	"testing"

	"shallotring.dev/standin/rawserver"
)

// TestTruncatedResponseIsNoList guards against a list in a response that ends before its length, although its JSON happens to be whole.
func TestTruncatedResponseIsNoList(t *testing.T) {
	client := New("http://" + rawserver.Start(t, rawserver.Respond("HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n"+`[{"Host":"a","Leaving":true}]`)))
	defer client.Close()
	if leaving, err := client.Leaving(t.Context(), "a"); leaving || err == nil {
		t.Errorf("leaving %t, error %v, want an error", leaving, err)
	}
}
