package engine

import (
	"net/http"
	"testing"

	"shallotring.dev/standin/rawserver"
	"shallotring.dev/state/ident"
)

// startRawEndpoint returns a client of an endpoint that sends each response as given.
func startRawEndpoint(t *testing.T, response string) (c *Client) {
	t.Helper()
	c, err := New("http://" + rawserver.Start(t, rawserver.Respond(response)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// TestInvalidStatusIsNoResponse guards against a response whose status is none of HTTP and that counts as one: for a request as its result, for a
// command as a success.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "001", "042", "099", "+20", "-00", "101"} {
		t.Run(status, func(t *testing.T) {
			var observed []ident.StartID
			c := startRawEndpoint(t, "HTTP/1.1 "+status+" Status\r\n"+HeaderStartID+": s1\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}")
			c.observer = func(id ident.StartID) { observed = append(observed, id) }
			for _, service := range []bool{false, true} {
				call := Call{ID: tryID, Adapter: adapterVersion, Service: service, Method: http.MethodPost, Path: "/v1/completions", Body: []byte(`{}`)}
				head, _, err := c.Run(t.Context(), 7, call, func(head ResponseHead, b []byte) error {
					t.Errorf("service %t: response %d %q is passed on", service, head.Status, b)
					return nil
				})
				if got := EffectOf(err); got != MayHaveEffect || Answered(err) {
					t.Errorf("service %t: status %d, effect %v, answered %t, error %v; want %v without a response", service, head.Status, got, Answered(err), err, MayHaveEffect)
				}
			}
			if err := c.Cancel(t.Context(), 7, "r1"); EffectOf(err) != MayHaveEffect {
				t.Errorf("cancel: error %v, want one that says the command may have had an effect", err)
			}
			if _, _, err := c.Models(t.Context()); err == nil {
				t.Error("the list of adapters is accepted")
			}
			if len(observed) > 0 {
				t.Errorf("start ids %q of responses that are none", observed)
			}
		})
	}
}
