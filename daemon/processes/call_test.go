package processes

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"shallotring.dev/standin/engine"
)

// call is one request for a completion.
type call struct {
	model  string
	prompt string
	tokens int
	stream bool
	// key makes the request non-repeatable.
	key string
	// onFirstChunk is called when the first chunk has arrived.
	onFirstChunk func()
}

// completion is what the caller received for one call.
type completion struct {
	call
	status       int
	header       http.Header
	outcome      string
	text         string
	receivedDone bool
	// failure is the explicit error: of the connection, in the body or in an error event.
	failure string
}

// complete reports whether the caller received the complete response to its own request.
func (r completion) complete() bool {
	return r.failure == "" && r.status == http.StatusOK && (r.receivedDone || !r.stream) &&
		r.text == strings.Join(engine.Tokens(r.model, r.prompt, r.tokens), "")
}

// notRun reports whether the response states that the request did not run.
func (r completion) notRun() bool { return r.outcome == "not-run" }

// completeOrErr reports whether the response is complete or has an explicit error and no [DONE] event.
func (r completion) completeOrErr() bool { return r.complete() || r.failure != "" && !r.receivedDone }

func (r completion) String() string {
	return fmt.Sprintf("%s %q: status %d, outcome %q, done %t, failed %q, text %q", r.model, r.prompt, r.status, r.outcome, r.receivedDone, r.failure, r.text)
}

func sendCall(url string, c call) (r completion) {
	r.call = c
	body, _ := json.Marshal(map[string]any{"model": c.model, "prompt": c.prompt, "max_tokens": c.tokens, "stream": c.stream})
	q, _ := http.NewRequest(http.MethodPost, url+"/v1/completions", bytes.NewReader(body))
	q.Header.Set("Content-Type", "application/json")
	setKey(q, c.key)
	a, err := client.Do(q)
	if err != nil {
		r.failure = err.Error()
		return r
	}
	defer a.Body.Close()
	r.status, r.header, r.outcome = a.StatusCode, a.Header, a.Header.Get("Shallotring-Outcome")
	in := bufio.NewReader(a.Body)
	for {
		line, err := in.ReadString('\n')
		if line = strings.TrimSpace(line); line != "" {
			r.addLine(strings.TrimPrefix(line, "data: "))
			if c.onFirstChunk != nil {
				c.onFirstChunk()
				c.onFirstChunk = nil
			}
		}
		if err != nil {
			if err.Error() != "EOF" {
				r.failure = err.Error()
			}
			break
		}
	}
	if t := a.Trailer.Get("Shallotring-Outcome"); t != "" {
		r.outcome = t
	}
	return r
}

func (r *completion) addLine(line string) {
	if line == "[DONE]" {
		r.receivedDone = true
		return
	}
	var x struct {
		Error *struct {
			Message string
			Code    string
		}
		Choices []struct{ Text string }
	}
	if err := json.Unmarshal([]byte(line), &x); err != nil {
		r.failure = err.Error()
		return
	}
	if x.Error != nil {
		r.failure = x.Error.Code + ": " + x.Error.Message
	}
	for _, c := range x.Choices {
		r.text += c.Text
	}
}

// orderResponse is the response to an order (see sendOrder).
type orderResponse struct {
	status     int
	request    string
	outcome    string
	retryAfter string
	body       string
}

// setKey sets the idempotency key under a spelling that http.Transport does not recognise, so that it retries nothing itself.
func setKey(q *http.Request, key string) {
	q.GetBody = nil
	if key != "" {
		q.Header["idempotency-key"] = []string{key}
	}
}

// sendOrder sends an order, which is a non-repeatable request to the plain service custody, with an idempotency key. The status is 0
// if the connection fails.
func sendOrder(url, key string) (r orderResponse) {
	q, _ := http.NewRequest(http.MethodPost, url+"/services/custody/orders", strings.NewReader(`{"Box":"`+key+`"}`))
	q.Header.Set("Content-Type", "application/json")
	setKey(q, key)
	a, err := client.Do(q)
	if err != nil {
		return r
	}
	defer a.Body.Close()
	var b bytes.Buffer
	if _, err = b.ReadFrom(a.Body); err != nil {
		return r
	}
	h := a.Header
	return orderResponse{a.StatusCode, h.Get("Shallotring-Request"), h.Get("Shallotring-Outcome"), h.Get("Retry-After"), b.String()}
}

// streamLoad sends streams from several callers until stop is called.
type streamLoad struct {
	t           *testing.T
	stopCallers func()
	finished    atomic.Int64
	mu          sync.Mutex
	completions []completion
}

// startStreams starts callers that each send one stream after another to the entry whose URL pick returns.
func startStreams(t *testing.T, callers, tokens int, pick func() string) (l *streamLoad) {
	l = &streamLoad{t: t}
	var stop atomic.Bool
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			for n := 0; !stop.Load(); n++ {
				r := sendCall(pick(), call{
					model: fmt.Sprintf("adapter-%d@v%d", i%adapterCount+1, n%2+1), prompt: fmt.Sprintf("log %d of crew %d", n, i), tokens: tokens, stream: true,
				})
				l.mu.Lock()
				l.completions = append(l.completions, r)
				l.mu.Unlock()
				l.finished.Add(1)
				if !r.complete() {
					time.Sleep(50 * time.Millisecond)
				}
			}
		})
	}
	l.stopCallers = func() {
		stop.Store(true)
		wg.Wait()
	}
	t.Cleanup(l.stopCallers)
	return l
}

// waitForMore waits until n further streams have finished.
func (l *streamLoad) waitForMore(n int64) {
	l.t.Helper()
	target := l.finished.Load() + n
	waitUntil(l.t, fmt.Sprintf("%d further streams finish", n), func() bool { return l.finished.Load() >= target })
}

func (l *streamLoad) stop() (list []completion) {
	l.stopCallers()
	return l.completions
}

// balancer returns a function that picks entries in turn and leaves out those that fail their readiness check.
func (d *deployment) balancer() func() string {
	var turn atomic.Int64
	return func() string {
		n := int(turn.Add(1))
		for i := range d.entries {
			if g := d.entries[(n+i)%len(d.entries)]; ready(g.adminAddress) {
				return g.url
			}
		}
		return d.entries[0].url
	}
}
