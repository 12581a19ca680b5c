package engine

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

type instantLoader struct{}

func (instantLoader) Load(context.Context, string) (err error) { return nil }

func postCommand(t *testing.T, url, fencing, body string) (status int, response string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(HeaderFencing, fencing)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(b)
}

// Guards against a stand-in that accepts commands that a real engine refuses (adapter not loaded, no free slot, stale fencing
// number): tests with it would not find such faults of the agent.
func TestEngineRefusesInvalidCommands(t *testing.T) {
	e := New("base", instantLoader{}, WithSlots(1, 2), WithFencing(true), WithTokenInterval(0))
	s := httptest.NewServer(e.Handler())
	defer s.Close()
	steps := []struct {
		name, path, fencing, body string
		status                    int
		contains                  string
	}{
		{"run on an absent adapter", "/v1/completions", "5", `{"model":"a@1","prompt":"hi"}`, 404, "model_not_found"},
		{"load an adapter", "/v1/load_lora_adapter", "5", `{"lora_name":"a@1","lora_path":"a/1"}`, 200, ""},
		{"load without a free slot", "/v1/load_lora_adapter", "5", `{"lora_name":"b@1","lora_path":"b/1"}`, 409, "no_slot"},
		{"unload with a stale fencing number", "/v1/unload_lora_adapter", "4", `{"lora_name":"a@1"}`, 412, "old_fencing_number"},
		{"run a completion", "/v1/completions", "5", `{"model":"a@1","prompt":"hi","max_tokens":2}`, 200, "a@1 " + PromptDigest("hi")},
		{"stream a chat completion", "/v1/chat/completions", "5", `{"model":"a@1","stream":true,"messages":[{"role":"user","content":"hi"}]}`, 200, "data: [DONE]"},
		{"unload the adapter", "/v1/unload_lora_adapter", "6", `{"lora_name":"a@1"}`, 200, ""},
		{"unload the absent adapter", "/v1/unload_lora_adapter", "6", `{"lora_name":"a@1"}`, 404, "not_loaded"},
	}
	for _, st := range steps {
		status, response := postCommand(t, s.URL+st.path, st.fencing, st.body)
		if status != st.status || !strings.Contains(response, st.contains) {
			t.Errorf("%s: got %d %s, want %d with %q", st.name, status, response, st.status, st.contains)
		}
	}
	if n := len(e.Journal()); n != 2 {
		t.Errorf("journal has %d runs, want 2", n)
	}
}

// Guards against a restart of the stand-in that retains adapters or the start id: tests of the agent's restart handling would
// then check nothing.
func TestRestartDropsAdaptersAndChangesStartID(t *testing.T) {
	e := New("base", instantLoader{}, WithTokenInterval(0))
	if err := e.load(context.Background(), "a@1", "a/1", 0); err != nil {
		t.Fatal(err)
	}
	before := e.startID
	e.Restart()
	if len(e.Loaded()) != 0 || e.startID == before {
		t.Errorf("after the restart: loaded %v, start id %s, before %s", e.Loaded(), e.startID, before)
	}
}

// Guards against a request of a superseded agent that runs because its fencing number is checked only when the header arrives.
// Here a newer fencing number arrives between the two halves of the request's body.
func TestFencingIsCheckedAfterTheBody(t *testing.T) {
	e := New("base", instantLoader{}, WithFencing(true), WithTokenInterval(0))
	s := httptest.NewServer(e.Handler())
	defer s.Close()
	if err := e.load(t.Context(), "a@1", "a/1", 5); err != nil {
		t.Fatal(err)
	}
	body, bodyWriter := io.Pipe()
	req, err := http.NewRequest(http.MethodPost, s.URL+"/v1/completions", body)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(HeaderFencing, "5")
	go func() {
		io.WriteString(bodyWriter, `{"model":"a@1",`)
		postCommand(t, s.URL+"/cancel", "6", `{"request_id":"none"}`)
		io.WriteString(bodyWriter, `"prompt":"hi"}`)
		bodyWriter.Close()
	}()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusPreconditionFailed || len(e.Journal()) != 0 {
		t.Errorf("status %d, journal %v", resp.StatusCode, e.Journal())
	}
}
