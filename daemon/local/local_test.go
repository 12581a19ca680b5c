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
	"shallotring.dev/state/outcome"
)

const testTimeout = 60 * time.Second

// startDeployment runs a deployment until the test ends; the test fails if the graceful stop fails.
func startDeployment(t *testing.T, options ...Option) (d *Deployment) {
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
			t.Errorf("run the deployment: %v", err)
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

// postUntilRun retries a request without a pause while the status is 409, with which a request with the same key is in progress, or
// higher, for at most testTimeout.
func postUntilRun(t *testing.T, url, body, key string) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); {
		if a, _ := post(t, url, body, key); a.StatusCode < http.StatusConflict {
			return
		}
	}
}

// postUnlessIsolated repeats a request that is refused as isolated, for at most testTimeout: a process that got no processor for longer than
// the isolation timeout refuses requests until it has reached the key-value service again.
func postUnlessIsolated(t *testing.T, url, body string) (a *http.Response, text string) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(50 * time.Millisecond) {
		a, text = post(t, url, body, "")
		isolated := a.StatusCode == http.StatusServiceUnavailable && strings.Contains(text, string(outcome.Isolated)) && a.Header.Get("Shallotring-Outcome") == "not-run"
		if !isolated || time.Now().After(deadline) {
			return a, text
		}
		t.Logf("refused as isolated, sent again")
	}
}

// TestEachAnswerIsItsOwn guards against a response, plain or streamed, that another adapter or version generated or that
// belongs to another prompt while many callers share the engines.
func TestEachAnswerIsItsOwn(t *testing.T) {
	d := startDeployment(t)
	const requests, adapters = 200, 20
	var wg sync.WaitGroup
	for i := range requests {
		wg.Go(func() {
			model := fmt.Sprintf("adapter-%02d@v%d", i%adapters+1, i%2+1)
			prompt := fmt.Sprintf("borehole log %d", i)
			want := model + " " + engine.PromptDigest(prompt)
			body, _ := json.Marshal(map[string]any{"model": model, "prompt": prompt, "max_tokens": 8, "stream": i%3 == 0})
			a, text := postUnlessIsolated(t, "http://"+d.Address()+"/v1/completions", string(body))
			if a.StatusCode != http.StatusOK {
				t.Errorf("%s: status %d: %s", model, a.StatusCode, text)
				return
			}
			if got := completionText(t, text, i%3 == 0); !strings.HasPrefix(got, want) {
				t.Errorf("%s: got %q, want it to start with %q", model, got, want)
			}
			if h := a.Header.Get("Shallotring-Adapter"); h != model {
				t.Errorf("%s: the response names adapter %q", model, h)
			}
		})
	}
	wg.Wait()
	runs := 0
	for _, e := range d.Platform().Engines {
		runs += len(e.Journal())
	}
	if runs != requests {
		t.Errorf("%d requests ran %d times", requests, runs)
	}
	for name, e := range d.Platform().Engines {
		if list := e.EvictionsInUse(); len(list) > 0 {
			t.Errorf("%s: adapters were evicted while in use: %v", name, list)
		}
	}
}

// completionText returns the generated text of a plain or streamed completion.
func completionText(t *testing.T, text string, streamed bool) (out string) {
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

// TestKeyedOrderRunsOnce guards against a non-repeatable request that runs twice when callers retry it with its idempotency
// key, concurrently or after it has completed.
func TestKeyedOrderRunsOnce(t *testing.T) {
	d := startDeployment(t)
	url := "http://" + d.Address() + "/services/custody/orders"
	const retries = 20
	var wg sync.WaitGroup
	for range retries {
		wg.Go(func() { postUntilRun(t, url, `{"Box":"B-17"}`, "order-17") })
	}
	wg.Wait()
	response, text := post(t, url, `{"Box":"B-17"}`, "order-17")
	if response.StatusCode != http.StatusOK || response.Header.Get("Shallotring-Outcome") != "completed" {
		t.Errorf("retry: status %d, outcome %s: %s", response.StatusCode, response.Header.Get("Shallotring-Outcome"), text)
	}
	if runs := d.Platform().Service.Journal(); len(runs) != 1 {
		t.Errorf("the service ran the order %d times: %+v", len(runs), runs)
	}
	if response, _ := post(t, url, `{"Box":"B-18"}`, "order-17"); response.StatusCode != http.StatusUnprocessableEntity {
		t.Errorf("key with another body: status %d", response.StatusCode)
	}
	if response, _ := post(t, url, `{"Box":"B-19"}`, ""); response.StatusCode != http.StatusBadRequest {
		t.Errorf("missing key: status %d", response.StatusCode)
	}
	if runs := d.Platform().Service.Journal(); len(runs) != 1 {
		t.Errorf("refused orders ran: %+v", runs)
	}
}

// TestModelsListAdapters guards against a deployment whose list of models lacks some of its adapters.
func TestModelsListAdapters(t *testing.T) {
	d := startDeployment(t)
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
		t.Errorf("%d adapters are listed: %s", n, b.String())
	}
}
