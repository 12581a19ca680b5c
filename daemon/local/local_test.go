package local

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"shallotring.dev/standin/engine"
)

const testTimeout = 60 * time.Second

// start runs a deployment until the test ends; the test fails if its graceful stop does.
func start(t *testing.T, options ...Option) (d *Deployment) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	options = append([]Option{WithAddresses(anyPort, anyPort), WithLog(io.Discard, slog.LevelError), WithTokenInterval(0)}, options...)
	d, err := New(ctx, options...)
	if err != nil {
		t.Fatal(err)
	}
	run, stop := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() { done <- d.Run(run) }()
	t.Cleanup(func() {
		stop()
		if err := <-done; err != nil {
			t.Errorf("run: %v", err)
		}
	})
	if err = d.WaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	return d
}

func post(t *testing.T, url, body, key string) (a *http.Response, text string) {
	t.Helper()
	q, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	q.Header.Set("Content-Type", "application/json")
	if key != "" {
		q.Header.Set("Idempotency-Key", key)
	}
	a, err = http.DefaultClient.Do(q)
	if err != nil {
		t.Fatal(err)
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	if err != nil {
		t.Fatal(err)
	}
	return a, string(b)
}

// postUntilRun repeats a request that was not run, as a caller does after Retry-After.
func postUntilRun(t *testing.T, url, body, key string) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); {
		if a, _ := post(t, url, body, key); a.StatusCode < http.StatusConflict {
			return
		}
	}
}

// Guards against answers of another adapter, version or prompt, plain or streamed, while many callers share the engines.
func TestEachAnswerIsItsOwn(t *testing.T) {
	d := start(t)
	const requests, adapters = 200, 20
	var wg sync.WaitGroup
	for i := range requests {
		wg.Go(func() {
			model := fmt.Sprintf("adapter-%02d@v%d", i%adapters+1, i%2+1)
			prompt := fmt.Sprintf("borehole log %d", i)
			want := model + " " + engine.PromptDigest(prompt)
			body, _ := json.Marshal(map[string]any{"model": model, "prompt": prompt, "max_tokens": 8, "stream": i%3 == 0})
			a, text := post(t, "http://"+d.Address()+"/v1/completions", string(body), "")
			if a.StatusCode != http.StatusOK {
				t.Errorf("%s: status %d: %s", model, a.StatusCode, text)
				return
			}
			if got := generated(t, text, i%3 == 0); !strings.HasPrefix(got, want) {
				t.Errorf("%s: got %q, want it to start with %q", model, got, want)
			}
			if h := a.Header.Get("Shallotring-Adapter"); h != model {
				t.Errorf("%s: answer names %q", model, h)
			}
		})
	}
	wg.Wait()
	for name, e := range d.Platform().Engines {
		if list := e.EvictionsInUse(); len(list) > 0 {
			t.Errorf("%s: evicted in use: %v", name, list)
		}
	}
}

// generated returns the text of a plain or streamed completion.
func generated(t *testing.T, text string, streamed bool) (out string) {
	t.Helper()
	type completion struct {
		Choices []struct{ Text string }
	}
	add := func(s string) {
		var c completion
		if err := json.Unmarshal([]byte(s), &c); err != nil {
			t.Errorf("%v in %q", err, s)
			return
		}
		for _, x := range c.Choices {
			out += x.Text
		}
	}
	if !streamed {
		add(text)
		return out
	}
	if !strings.HasSuffix(text, "data: [DONE]\n\n") {
		t.Errorf("stream does not end with [DONE]: %q", text)
	}
	for line := range strings.Lines(text) {
		if data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: "); ok && data != "[DONE]" {
			add(data)
		}
	}
	return out
}

// Guards against a pull order that runs twice when callers repeat its key, at once or later.
func TestKeyedOrderRunsOnce(t *testing.T) {
	d := start(t)
	url := "http://" + d.Address() + "/services/custody/orders"
	const repeats = 20
	var wg sync.WaitGroup
	for range repeats {
		wg.Go(func() { postUntilRun(t, url, `{"Box":"B-17"}`, "order-17") })
	}
	wg.Wait()
	a, text := post(t, url, `{"Box":"B-17"}`, "order-17")
	if a.StatusCode != http.StatusOK || a.Header.Get("Shallotring-Outcome") != "completed" {
		t.Errorf("repeat: %d %s %s", a.StatusCode, a.Header.Get("Shallotring-Outcome"), text)
	}
	if runs := d.Platform().Service.Journal(); len(runs) != 1 {
		t.Errorf("the service ran the order %d times: %+v", len(runs), runs)
	}
	if a, _ := post(t, url, `{"Box":"B-18"}`, "order-17"); a.StatusCode != http.StatusUnprocessableEntity {
		t.Errorf("key with another body: %d", a.StatusCode)
	}
	if a, _ := post(t, url, `{"Box":"B-19"}`, ""); a.StatusCode != http.StatusBadRequest {
		t.Errorf("missing key: %d", a.StatusCode)
	}
	if runs := d.Platform().Service.Journal(); len(runs) != 1 {
		t.Errorf("refused orders ran: %+v", runs)
	}
}

// Guards against a deployment that does not list its adapters.
func TestModels(t *testing.T) {
	d := start(t)
	a, err := http.Get("http://" + d.Address() + "/v1/models")
	if err != nil {
		t.Fatal(err)
	}
	defer a.Body.Close()
	var b bytes.Buffer
	if _, err = b.ReadFrom(a.Body); err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(b.String(), `"id":"adapter-`); n < adapterCount {
		t.Errorf("%d adapters in %s", n, b.String())
	}
}
