package engine

import (
	"net/http"
	"strings"
	"testing"
)

// TestInvalidFieldNameIsNoResponse guards against a response with a field whose name HTTP does not allow and that counts as one, with a body that ends
// where another field says.
func TestInvalidFieldNameIsNoResponse(t *testing.T) {
	const (
		head   = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
		chunks = "4\r\ndone\r\n0\r\n\r\n"
		length = "Content-Length: 4\r\n\r\ndone"
	)
	for _, x := range []struct {
		name, response string
		want           Effect
	}{
		{"space inside", head + "X Y: v\r\n" + length, MayHaveEffect},
		{"space at the end", head + "X : v\r\n" + length, MayHaveEffect},
		{"space at the end of the length", head + "Content-Length : 2\r\n\r\ndone", MayHaveEffect},
		{"space at the end of the length beside chunks", head + "Content-Length : 2\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks, MayHaveEffect},
		{"space at the end of the transfer encoding", head + "Transfer-Encoding : chunked\r\n\r\n" + chunks, MayHaveEffect},
		{"space inside the transfer encoding", head + "Transfer Encoding: chunked\r\n\r\n" + chunks, MayHaveEffect},
		{"control byte", head + "X\x01Y: v\r\n" + length, MayHaveEffect},
		{"tab", head + "X\t: v\r\n" + length, MayHaveEffect},
		{"DEL", head + "X\x7f: v\r\n" + length, MayHaveEffect},
		{"byte above 127", head + "X\xe9: v\r\n" + length, MayHaveEffect},
		{"no name", head + ": v\r\n" + length, MayHaveEffect},
		{"in an informational response", "HTTP/1.1 103 Early Hints\r\nX Y: v\r\n\r\n" + head + length, MayHaveEffect},
		{"every sign of a token", head + "!#$%&'*+-.^_`|~aZ09: v\r\n" + length, Done},
		{"no value, and a value between spaces", head + "X:\r\nY: \t v w \t\r\n" + length, Done},
		{"informational response", "HTTP/1.1 103 Early Hints\r\nX: v\r\n\r\n" + head + length, Done},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := startRawEndpoint(t, x.response)
			call := Call{ID: tryID, Service: true, Method: http.MethodPost, Path: "/x", Body: []byte(`{}`)}
			var body strings.Builder
			_, _, err := c.Run(t.Context(), 7, call, func(_ ResponseHead, b []byte) error {
				body.Write(b)
				return nil
			})
			if got := EffectOf(err); got != x.want || (body.String() == "done") != (x.want == Done) || x.want != Done && body.Len() > 0 {
				t.Errorf("effect %v, body %q, error %v; want %v", got, body.String(), err, x.want)
			}
			// The stand-in closes each connection after one response, so the next call has one of its own.
			if err = startRawEndpoint(t, x.response).Cancel(t.Context(), 7, "r1"); EffectOf(err) != x.want {
				t.Errorf("cancel: effect %v, error %v; want %v", EffectOf(err), err, x.want)
			}
		})
	}
}
