package engine

import "testing"

// TestTruncatedResponseIsNoList guards against a list of adapters or of running requests in a response that ends before its length, although its JSON happens
// to be whole.
func TestTruncatedResponseIsNoList(t *testing.T) {
	c := startRawEndpoint(t, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n"+`{"data":[],"requests":[]}`)
	if list, _, err := c.Models(t.Context()); err == nil {
		t.Errorf("adapters %v", list)
	}
	if list, _, err := c.Running(t.Context()); err == nil {
		t.Errorf("running requests %v", list)
	}
}
