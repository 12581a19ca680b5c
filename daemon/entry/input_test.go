package entry

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestBadInput guards against bad input that gets a wrong status or error code, or that reaches an agent.
func TestBadInput(t *testing.T) {
	s := testSettings()
	s.BodyBytes, s.HeaderBytes = 4096, 2048
	past := time.Now().Add(-time.Minute)
	// A version 7 UUID that was created two days ago, which exceeds the default retention of 24 hours.
	oldKey := fmt.Sprintf("%012x", past.Add(-48*time.Hour).UnixMilli())
	oldKey = oldKey[:8] + "-" + oldKey[8:] + "-7000-8000-000000000000"
	tests := []struct {
		name, method, path, body string
		header                   []string
		status                   int
		code                     string
	}{
		{name: "not JSON", body: `{"model":`, status: 400, code: "malformed_json"},
		{name: "not an object", body: `[1]`, status: 400, code: "malformed_json"},
		{name: "empty", body: ``, status: 400, code: "malformed_json"},
		{name: "two objects", body: chat + chat, status: 400, code: "malformed_json"},
		{name: "no model", body: `{"messages":[{"role":"user"}]}`, status: 400, code: "missing_model"},
		{name: "model is null", body: `{"model":null,"messages":[{"role":"user"}]}`, status: 400, code: "missing_model"},
		{name: "model is a number", body: `{"model":1,"messages":[{"role":"user"}]}`, status: 400, code: "invalid_model"},
		{name: "two models", body: `{"model":"core","model":"core@v2","messages":[{"role":"user"}]}`, status: 400, code: "ambiguous_field"},
		{name: "model in two cases", body: `{"model":"core","Model":"core@v2","messages":[{"role":"user"}]}`, status: 400, code: "ambiguous_field"},
		{name: "no messages", body: `{"model":"core"}`, status: 400, code: "missing_messages"},
		{name: "message without role", body: `{"model":"core","messages":[{}]}`, status: 400, code: "missing_role"},
		{name: "no prompt", path: "/v1/completions", body: `{"model":"core"}`, status: 400, code: "missing_prompt"},
		{name: "stream is text", body: `{"model":"core","stream":"yes","messages":[{"role":"user"}]}`, status: 400, code: "invalid_type"},
		{name: "negative max_tokens", body: `{"model":"core","max_tokens":-1,"messages":[{"role":"user"}]}`, status: 400, code: "invalid_value"},
		{name: "unknown adapter", body: strings.Replace(chat, "core", "none", 1), status: 404, code: "model_not_found"},
		{name: "unknown version", body: strings.Replace(chat, "core", "core@v9", 1), status: 404, code: "model_not_found"},
		{name: "empty version", body: strings.Replace(chat, "core", "core@", 1), status: 404, code: "model_not_found"},
		{name: "unknown service", path: "/services/none/x", status: 404, code: "model_not_found"},
		{name: "unknown path", path: "/v1/none", status: 404, code: "not_found"},
		{name: "body over the limit", body: strings.Repeat(" ", 5000), status: 413, code: "body_too_large"},
		{name: "headers over the limit", body: chat, header: []string{"X-Long", strings.Repeat("x", 3000)}, status: 431, code: "headers_too_large"},
		{name: "key missing", path: "/services/custody/pull/1", status: 400, code: "missing_idempotency_key"},
		{name: "path that hides a route", path: "/services/custody/x/..%2Fpull/1", status: 400, code: "invalid_path"},
		{name: "key too long", body: chat, header: []string{HeaderKey, strings.Repeat("k", 256)}, status: 400, code: "invalid_idempotency_key"},
		{name: "key with a space", body: chat, header: []string{HeaderKey, "a b"}, status: 400, code: "invalid_idempotency_key"},
		{name: "key empty", body: chat, header: []string{HeaderKey, ""}, status: 400, code: "invalid_idempotency_key"},
		{name: "key past retention", body: chat, header: []string{HeaderKey, oldKey}, status: 422, code: "key_expired"},
		{name: "key without a ledger", body: chat, header: []string{HeaderKey, "k"}, status: 503, code: "ledger-down"},
		{name: "wrong method", method: "GET", path: "/v1/completions", status: 405, code: "method_not_allowed"},
		{name: "wrong method for list", method: "POST", path: "/v1/models", status: 405, code: "method_not_allowed"},
		{name: "deadline expired", body: chat, header: []string{HeaderDeadline, past.Format(time.RFC3339)}, status: 408, code: "deadline_expired"},
		{name: "deadline malformed", body: chat, header: []string{HeaderDeadline, "soon"}, status: 400, code: "invalid_deadline"},
		{name: "no token", body: chat, header: []string{"Authorization", ""}, status: 401, code: "invalid_token"},
		{name: "unknown token", body: chat, header: []string{"Authorization", "Bearer none"}, status: 401, code: "invalid_token"},
		{name: "token in another scheme", body: chat, header: []string{"Authorization", "Basic " + token}, status: 401, code: "invalid_token"},
		{name: "unknown request", method: "GET", path: "/v1/requests/req-1", status: 404, code: "request_not_found"},
	}
	agents := twoAgents(t)
	r := startEntry(t, s, agents)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			method, path := tt.method, tt.path
			if method == "" {
				method = http.MethodPost
			}
			if path == "" {
				path = "/v1/chat/completions"
			}
			w := r.send(t, method, path, strings.NewReader(tt.body), tt.header...)
			if code := errorCode(t, w); w.StatusCode != tt.status || code != tt.code {
				t.Errorf("got %d %s, want %d %s", w.StatusCode, code, tt.status, tt.code)
			}
			if o := w.Header.Get(HeaderOutcome); o != "not-run" {
				t.Errorf("outcome %q", o)
			}
			if w.StatusCode == http.StatusServiceUnavailable && w.Header.Get("Retry-After") == "" {
				t.Error("no Retry-After")
			}
			if n := agents[0].runs.Load() + agents[1].runs.Load(); n != 0 {
				t.Errorf("%d tries reached an agent", n)
			}
		})
	}
	if strings.Contains(r.log.String(), token) {
		t.Error("a token is in the log")
	}
}

// TestKeyedRequest guards against a non-repeatable request that runs twice or whose retry gets another response.
func TestKeyedRequest(t *testing.T) {
	agents := twoAgents(t)
	l := newFakeLedger()
	r := startEntry(t, testSettings(), agents, WithLedger(l))
	pull := func(key, body string) (w *http.Response) {
		return r.post(t, "/services/custody/pull/7", body, HeaderKey, key)
	}
	first := pull("k1", "pallet")
	text := readAll(t, first)
	retry := pull("k1", "pallet")
	if again := readAll(t, retry); again != text || retry.StatusCode != http.StatusOK {
		t.Errorf("retry: %d %s", retry.StatusCode, again)
	}
	if a, b := first.Header.Get(HeaderRequest), retry.Header.Get(HeaderRequest); a != b {
		t.Errorf("retry names request %s, first was %s", b, a)
	}
	if w := pull("k1", "other"); w.StatusCode != http.StatusUnprocessableEntity || errorCode(t, w) != "key_reused" {
		t.Errorf("reused key: %d", w.StatusCode)
	}
	if n := agents[1].runs.Load(); n != 1 {
		t.Errorf("ran %d times", n)
	}
	if p := agents[1].lastRequest(); p.GetPath() != "/pull/7" || p.GetKey() != "k1" || string(p.GetBody()) != "pallet" {
		t.Errorf("service got %v", p)
	}
	l.granted["depot/k2"], l.outcomes["depot/k2"] = l.granted["depot/k1"], 0
	if w := pull("k2", "pallet"); w.StatusCode != http.StatusConflict || errorCode(t, w) != "key_in_progress" || w.Header.Get("Retry-After") == "" {
		t.Errorf("key in progress: %d", w.StatusCode)
	}
	l.expired = true
	// The process that owns the key in the ledger refuses it by its own clock and retention, which can differ from those
	// of this entry.
	w := pull("k4", "pallet")
	if w.StatusCode != http.StatusUnprocessableEntity || errorCode(t, w) != "key_expired" || w.Header.Get(HeaderOutcome) != "not-run" {
		t.Errorf("expired key: %d %s", w.StatusCode, w.Header.Get(HeaderOutcome))
	}
	l.expired, l.failing = false, true
	if w := pull("k3", "pallet"); w.StatusCode != http.StatusServiceUnavailable || errorCode(t, w) != "ledger-down" {
		t.Errorf("ledger down: %d", w.StatusCode)
	}
	if n := agents[1].runs.Load(); n != 1 {
		t.Errorf("ran %d times", n)
	}
}
