package entry

import (
	"net/http"
	"strings"
	"testing"
)

const (
	chat       = `{"model":"core","messages":[{"role":"user","content":"hello"}]}`
	chatStream = `{"model":"core@v2","stream":true,"messages":[{"role":"user","content":"hello"}]}`
)

// twoAgents returns the agents of one engine and one plain service, in this order.
func twoAgents(t testing.TB) []*fakeAgent { return []*fakeAgent{newFakeAgent(t), newFakeAgent(t)} }

// TestPlainAndStreamed guards against a plain or streamed response that is incomplete, comes from another adapter
// version, or lacks its outcome.
func TestPlainAndStreamed(t *testing.T) {
	r := startEntry(t, testSettings(), twoAgents(t))
	w := r.post(t, "/v1/chat/completions", chat)
	if body := readAll(t, w); w.StatusCode != http.StatusOK || !strings.Contains(body, "core@v1 ") {
		t.Errorf("plain: status %d, body %s", w.StatusCode, body)
	}
	if w.Header.Get(HeaderAdapter) != "core@v1" || w.Header.Get(HeaderOutcome) != "completed" {
		t.Errorf("plain: headers %v", w.Header)
	}
	w = r.post(t, "/v1/chat/completions", chatStream)
	body := readAll(t, w)
	if w.StatusCode != http.StatusOK || !strings.HasSuffix(body, "data: [DONE]\n\n") || strings.Count(body, "part") != 3 {
		t.Errorf("stream: status %d, body %s", w.StatusCode, body)
	}
	if w.Trailer.Get(HeaderOutcome) != "completed" {
		t.Errorf("stream: trailer %v", w.Trailer)
	}
}
