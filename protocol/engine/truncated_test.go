package engine

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// TestTruncatedResponseIsNotDone guards against a response that its endpoint broke off but that counts as complete, because the connection
// ended in an orderly way or the response is framed as complete.
func TestTruncatedResponseIsNotDone(t *testing.T) {
	const (
		stream = "text/event-stream"
		done   = "data: {}\n\ndata: [DONE]\n\n"
	)
	large := strings.Repeat("x", maxUsageBytes)
	for _, x := range []struct {
		name, contentType, body string
		// framed sends the length of the body; without it, the end of the connection marks the end of the body.
		framed, service bool
		want            Effect
	}{
		{"stream", stream, done, false, false, Done},
		{"stream inside the [DONE] event", stream, done[:len(done)-3], false, false, MayHaveEffect},
		{"stream before the empty line", stream, done[:len(done)-1], false, false, MayHaveEffect},
		{"framed stream before the empty line", stream, done[:len(done)-1], true, false, MayHaveEffect},
		{"stream inside an event after [DONE]", stream, done + "data: {", false, false, MayHaveEffect},
		{"JSON", "application/json", `{"usage":{}}`, false, false, Done},
		{"JSON inside a value", "application/json", `{"usage":{"prompt_`, false, false, MayHaveEffect},
		{"JSON without a byte", "application/json", "", false, false, MayHaveEffect},
		{"stream in other case before the empty line", "Text/Event-Stream", done[:len(done)-1], false, false, MayHaveEffect},
		{"stream in other case without [DONE]", "Text/Event-Stream", "data: {}\n\n", true, false, MayHaveEffect},
		{"stream as the second of two types without [DONE]", "text/plain\r\nContent-Type: " + stream, "data: {}\n\n", false, false, MayHaveEffect},
		{"JSON in other case inside a value", "Application/JSON ; charset=utf-8", `{"usage":{"prompt_`, false, false, MayHaveEffect},
		{"service JSON as the second of two types inside a value", "text/plain\r\nContent-Type: application/json", `[1, 2`, false, true, MayHaveEffect},
		{"service stream that is called JSON too", "application/json\r\nContent-Type: " + stream, "data: a\n\n", false, true, Done},
		{"service stream that is called JSON too, inside an event", "application/json\r\nContent-Type: " + stream, "data: a\n\nda", false, true, MayHaveEffect},
		{"large JSON", "application/json", `["` + large + `", 1]`, false, false, Done},
		{"large JSON inside a value", "application/json", `["` + large + `", 1`, false, false, MayHaveEffect},
		{"large JSON inside a string", "application/json", `["` + large, false, false, MayHaveEffect},
		{"large JSON with a length", "application/json", `["` + large, true, false, Done},
		{"large service JSON inside a value", "application/json", `["` + large + `", 1`, false, true, MayHaveEffect},
		{"large service text", "text/plain", large, false, true, Done},
		{"service stream in other case inside an event", "TEXT/EVENT-STREAM", "data: a\n\nda", false, true, MayHaveEffect},
		{"service JSON lines", "application/jsonl", "{}\n{}\n", false, true, Done},
		{"service stream", stream, "data: a\n\n", false, true, Done},
		{"service stream inside an event", stream, "data: a\n\nda", false, true, MayHaveEffect},
		{"service JSON", "application/json; charset=utf-8", `[1, 2]`, false, true, Done},
		{"service JSON inside a value", "application/json; charset=utf-8", `[1, 2`, false, true, MayHaveEffect},
		{"service JSON with a length", "application/json", `[1, 2`, true, true, Done},
		{"service text", "text/plain", "pulled", false, true, Done},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := startEndpoint(t, func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					panic(err)
				}
				defer conn.Close()
				length := ""
				if x.framed {
					length = fmt.Sprintf("Content-Length: %d\r\n", len(x.body))
				}
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: %s\r\n%s\r\n%s", x.contentType, length, x.body)
			})
			call := Call{ID: tryID, Adapter: adapterVersion, Service: x.service, Method: http.MethodPost, Path: "/v1/completions", Body: []byte(`{}`)}
			_, _, err := c.Run(t.Context(), 7, call, func(ResponseHead, []byte) error { return nil })
			if got := EffectOf(err); got != x.want {
				t.Errorf("effect %v, error %v; want %v", got, err, x.want)
			}
		})
	}
}

// TestHeadResponseWithoutLength guards against a response to HEAD, which has no body, that counts as truncated JSON.
func TestHeadResponseWithoutLength(t *testing.T) {
	c := startEndpoint(t, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Content-Type", "application/json") })
	call := Call{ID: tryID, Service: true, Method: http.MethodHead, Path: "/x"}
	if _, _, err := c.Run(t.Context(), 7, call, func(ResponseHead, []byte) error { return nil }); EffectOf(err) != Done {
		t.Errorf("effect %v, error %v", EffectOf(err), err)
	}
}

// TestCutHeadIsNoResponse guards against a response whose endpoint closed the connection inside the head and that counts as one with an empty
// or short body, in the product's own form.
func TestCutHeadIsNoResponse(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 40\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Type: text/plain\r\n\r\n",
	} {
		for n := range len(head) {
			c := startEndpoint(t, func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					panic(err)
				}
				defer conn.Close()
				fmt.Fprint(conn, head[:n])
			})
			call := Call{ID: tryID, Service: true, Method: http.MethodPost, Path: "/x", Body: []byte(`{}`)}
			_, _, err := c.Run(t.Context(), 7, call, func(ResponseHead, []byte) error { return nil })
			if got := EffectOf(err); got != MayHaveEffect {
				t.Errorf("head cut at byte %d, %q: effect %v, error %v; want %v", n, head[:n], got, err, MayHaveEffect)
			}
		}
	}
}
