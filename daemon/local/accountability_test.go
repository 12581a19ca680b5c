package local

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	logging "log"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"shallotring.dev/daemon/operator"
	"shallotring.dev/standin/engine"
	"shallotring.dev/standin/keyvalue"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/resource"
	"shallotring.dev/transport/timeline"
)

const (
	depotToken = "token-of-the-depot"
	labToken   = "token-of-the-lab"
)

// logBuffer collects the log of all processes of a deployment; it is safe for concurrent use.
type logBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (c *logBuffer) Write(p []byte) (n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.buffer.Write(p)
}

func (c *logBuffer) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.buffer.String()
}

func newCaller(name, token string) resource.Caller {
	digest := sha256.Sum256([]byte(token))
	return resource.Caller{Name: ident.Caller(name), TokenSHA256: hex.EncodeToString(digest[:])}
}

// authDeployment is a deployment with two callers and a captured log. Its methods send requests and compare what the log, the
// request records, the metrics and the journals of the stand-ins say about them.
type authDeployment struct {
	*testing.T
	*Deployment
	log *logBuffer
}

func newAuthDeployment(t *testing.T) *authDeployment {
	log := &logBuffer{}
	// Some libraries write to the standard logger, so its output is captured too.
	previousOutput := logging.Writer()
	logging.SetOutput(log)
	t.Cleanup(func() { logging.SetOutput(previousOutput) })
	return &authDeployment{T: t, log: log, Deployment: startDeployment(t, WithLog(log, slog.LevelDebug), WithTokenInterval(time.Millisecond),
		WithCallers(newCaller("depot", depotToken), newCaller("lab", labToken)))}
}

// request sends one request to the callers' API; header holds names and values in turn.
func (a *authDeployment) request(token, method, path, body string, header ...string) *http.Response {
	a.Helper()
	q, err := http.NewRequest(method, "http://"+a.Address()+path, strings.NewReader(body))
	if err != nil {
		a.Fatal(err)
	}
	q.Header.Set("Authorization", "Bearer "+token)
	for i := 0; i < len(header); i += 2 {
		q.Header.Set(header[i], header[i+1])
	}
	w, err := http.DefaultClient.Do(q)
	if err != nil {
		a.Fatal(err)
	}
	return w
}

// requestLines returns the lines that the operator's timeline command prints for a request.
func (a *authDeployment) requestLines(id string) (list []timeline.Line) {
	a.Helper()
	var stdout, stderr bytes.Buffer
	code := operator.Run(context.Background(), []string{"timeline", "--request", id, "--output", "json"},
		operator.Streams{In: strings.NewReader(a.log.String()), Out: &stdout, Err: &stderr})
	if code != operator.ExitSuccess || stderr.Len() > 0 {
		a.Fatalf("timeline: exit code %d, %s", code, stderr.String())
	}
	for d := json.NewDecoder(&stdout); ; {
		var l timeline.Line
		if err := d.Decode(&l); err == io.EOF {
			return list
		} else if err != nil {
			a.Fatal(err)
		}
		list = append(list, l)
	}
}

// engineRuns counts the runs of a request in the journals of the engines, and returns the model of the last run.
func (a *authDeployment) engineRuns(id string) (n int, model string) {
	for _, e := range a.Platform().Engines {
		for _, r := range e.Journal() {
			if strings.HasPrefix(r.RequestID, id+"/") {
				n, model = n+1, r.Model
			}
		}
	}
	return n, model
}

// requestRecord returns the response of GET /v1/requests/{id}.
func (a *authDeployment) requestRecord(token, id string) (status int, r struct {
	Adapter, Version, Service, Outcome, Reason string
	Status                                     int
	Tries                                      []struct{ Endpoint string }
	PromptTokens, CompletionTokens             int
}) {
	a.Helper()
	w := a.request(token, http.MethodGet, "/v1/requests/"+id, "")
	defer w.Body.Close()
	if err := json.NewDecoder(w.Body).Decode(&r); err != nil {
		a.Fatal(err)
	}
	return w.StatusCode, r
}

// anyTries matches one try or more, for cases where the retry budget decides how many are made.
const anyTries = -1

type expectation struct {
	name             string
	model            string // adapter@version that must have run or been refused; empty if none is known
	service          string
	status           int
	outcome          string
	reason           string
	tries            int
	promptTokens     int
	completionTokens int
}

func (w expectation) matchesTries(n int) bool { return n == w.tries || (w.tries == anyTries && n > 0) }

// checkRequest compares the response, the request record, the log and the engines' journals for one request.
func (a *authDeployment) checkRequest(want expectation, response *http.Response) (id string) {
	a.Helper()
	id = response.Header.Get("Shallotring-Request")
	body, readErr := io.ReadAll(response.Body)
	response.Body.Close()
	header := response.Header.Get("Shallotring-Outcome") + response.Trailer.Get("Shallotring-Outcome")
	if response.StatusCode != want.status || (readErr == nil && header != want.outcome) {
		a.Errorf("%s: response status %d, outcome %q: %s", want.name, response.StatusCode, header, body)
	}
	status, record := a.requestRecord(depotToken, id)
	model := strings.TrimSuffix(record.Adapter+"@"+record.Version, "@")
	if status != http.StatusOK || record.Outcome != want.outcome || record.Reason != want.reason || model != want.model ||
		record.Service != want.service || record.Status != want.status || !want.matchesTries(len(record.Tries)) ||
		record.PromptTokens != want.promptTokens || record.CompletionTokens != want.completionTokens {
		a.Errorf("%s: status %d of the request record, which is %+v", want.name, status, record)
	}
	if otherStatus, _ := a.requestRecord(labToken, id); otherStatus != http.StatusNotFound {
		a.Errorf("%s: the record is served to another caller with status %d", want.name, otherStatus)
	}
	a.checkTimeline(want, id)
	return id
}

// checkTimeline compares the log lines and the engines' journals for one request.
func (a *authDeployment) checkTimeline(want expectation, id string) {
	a.Helper()
	messageCount, endpoints := map[string]int{}, map[string]bool{}
	var finished timeline.Line
	for _, l := range a.requestLines(id) {
		messageCount[l.Role+": "+l.Message]++
		if l.Message == "try started" {
			endpoints[string(l.Endpoint)] = true
			if want.service == "" && string(l.Adapter)+"@"+string(l.Version) != want.model {
				a.Errorf("%s: an agent started %s@%s", want.name, l.Adapter, l.Version)
			}
		}
		if l.Message == "request finished" {
			finished = l
		}
	}
	model := strings.TrimSuffix(string(finished.Adapter+"@")+string(finished.Version), "@")
	if finished.Caller != "depot" || model != want.model || string(finished.Service) != want.service ||
		finished.Outcome != want.outcome || finished.Reason != want.reason || finished.Status != want.status ||
		!want.matchesTries(int(finished.Try)) || int(finished.PromptTokens) != want.promptTokens ||
		int(finished.CompletionTokens) != want.completionTokens || finished.Time.IsZero() {
		a.Errorf("%s: wrong \"request finished\" line: %s", want.name, finished.Raw)
	}
	if !want.matchesTries(messageCount["entry: try dispatched"]) || messageCount["entry: request finished"] != 1 {
		a.Errorf("%s: wrong number of dispatched tries or finished requests: %v", want.name, messageCount)
	}
	if want.service == "" {
		n, ran := a.engineRuns(id)
		if n != messageCount["agent: try started"] || (n > 0 && ran != want.model) {
			a.Errorf("%s: the engines ran it %d times, last on %s; the agents started %d tries",
				want.name, n, ran, messageCount["agent: try started"])
		}
	}
	if want.outcome == "not-run" && messageCount["agent: try started"] > 0 {
		a.Errorf("%s: the outcome is not-run, but an agent started a try: %v", want.name, messageCount)
	}
	if want.outcome == "completed" && want.tries > 0 && !endpoints[string(finished.Endpoint)] {
		a.Errorf("%s: endpoint %s finished the request, but only these started it: %v", want.name, finished.Endpoint, endpoints)
	}
}

// TestTimelineMatchesEachRequest guards against a request that cannot be billed correctly because its caller, adapter, version,
// endpoint, tries, outcome or token counts differ between the response, the log, the request record, the metrics and what the
// endpoints ran. Each case takes another path through the system: success, retry, refusal, failed load, lost response,
// truncated stream, disconnected caller.
func TestTimelineMatchesEachRequest(t *testing.T) {
	a := newAuthDeployment(t)
	before := a.outcomeCounts()
	post := func(path, body string, header ...string) *http.Response {
		return a.request(depotToken, http.MethodPost, path, body, header...)
	}
	const completions, orders = "/v1/completions", "/services/custody/orders"
	completionBody := `{"model":"adapter-01","prompt":"one two three","max_tokens":5}`
	a.checkRequest(expectation{"plain completion", "adapter-01@v2", "", 200, "completed", "", 1, 3, 5}, post(completions, completionBody))
	a.checkRequest(expectation{"completion with a key", "adapter-01@v2", "", 200, "completed", "", 1, 3, 5},
		post(completions, completionBody, "Idempotency-Key", "c-1"))
	a.checkRequest(expectation{"streamed completion", "adapter-02@v1", "", 200, "completed", "", 1, 2, 4}, post("/v1/chat/completions",
		`{"model":"adapter-02@v1","stream":true,"max_tokens":4,"messages":[{"role":"user","content":"four five"}]}`))
	a.checkRequest(expectation{"plain service", "", "custody", 200, "completed", "", 1, 0, 0}, post("/services/custody/lists", `{}`))
	first := a.checkRequest(expectation{"order with a key", "", "custody", 200, "completed", "", 1, 0, 0},
		post(orders, `{"Box":1}`, "Idempotency-Key", "o-1"))
	a.checkRetry(first, post(orders, `{"Box":1}`, "Idempotency-Key", "o-1"))

	a.checkRequest(expectation{"malformed body", "", "", 400, "not-run", "malformed_json", 0, 0, 0}, post(completions, `{`))
	a.checkRequest(expectation{"unknown model", "", "", 404, "not-run", "model_not_found", 0, 0, 0},
		post(completions, `{"model":"none","prompt":"x"}`))
	a.checkRequest(expectation{"order without a key", "", "custody", 400, "not-run", "missing_idempotency_key", 0, 0, 0}, post(orders, `{}`))
	a.checkRequest(expectation{"reused key", "", "custody", 422, "not-run", "key-mismatch", 0, 0, 0},
		post(orders, `{"Box":2}`, "Idempotency-Key", "o-1"))
	// The key is a version 7 UUID of June 2023, which is older than the retention of keys.
	a.checkRequest(expectation{"expired key", "", "custody", 422, "not-run", "key_expired", 0, 0, 0},
		post(orders, `{}`, "Idempotency-Key", "01890000-0000-7000-8000-000000000000"))
	a.checkRequest(expectation{"deadline passed", "", "", 408, "not-run", "deadline_expired", 0, 0, 0},
		post(completions, completionBody, "Shallotring-Deadline", "2026-01-01T00:00:00Z"))
	a.Platform().KeyValue.SetOutage(keyvalue.OutageRefused)
	a.checkRequest(expectation{"ledger unavailable", "", "custody", 503, "not-run", "ledger-down", 0, 0, 0},
		post(orders, `{}`, "Idempotency-Key", "o-2"))
	a.Platform().KeyValue.SetOutage(keyvalue.OutageNone)

	a.Platform().Weights.Fail(func(path string) bool { return path == "adapter-05/v2" })
	a.checkRequest(expectation{"load failure", "adapter-05@v2", "", 503, "not-run", "load-failed", anyTries, 0, 0},
		post(completions, `{"model":"adapter-05","prompt":"x"}`))
	a.Platform().Weights.Fail(nil)

	a.Platform().Service.SetHooks(nil, func(*http.Request) { panic(http.ErrAbortHandler) })
	a.checkRequest(expectation{"lost response", "", "custody", 502, "unknown", "broken-stream", 1, 0, 0},
		post(orders, `{"Box":3}`, "Idempotency-Key", "o-3"))
	a.Platform().Service.SetHooks(nil, nil)
	a.checkRequest(expectation{"retry after an unknown outcome", "", "custody", 409, "unknown", "key-unknown", 0, 0, 0},
		post(orders, `{"Box":3}`, "Idempotency-Key", "o-3"))
	if runs := a.Platform().Service.Journal(); len(runs) != 3 {
		t.Errorf("the plain service ran %+v, want 3 requests", runs)
	}
	// At one token per millisecond the stream lasts for a minute, so it is still running when the engines restart.
	truncated := post(completions, `{"model":"adapter-03@v1","prompt":"x","stream":true,"max_tokens":60000}`)
	if _, err := io.ReadFull(truncated.Body, make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	for _, e := range a.Platform().Engines {
		e.Restart()
	}
	a.checkRequest(expectation{"truncated stream", "adapter-03@v1", "", 200, "unknown", "broken-stream", 1, 0, 0}, truncated)

	a.checkDisconnect(`{"model":"adapter-04@v1","prompt":"x","stream":true,"max_tokens":60000}`, expectation{
		"caller disconnected", "adapter-04@v1", "", 200, "unknown", "caller-gone", 1, 0, 0})

	after := a.outcomeCounts()
	for outcome, want := range map[string]int{"completed": 6, "not-run": 8, "unknown": 4} {
		if got := after[outcome] - before[outcome]; got != want {
			t.Errorf("metric: %d requests with outcome %s, want %d", got, outcome, want)
		}
	}
}

// checkDisconnect closes the connection in the middle of a stream; the engine must then cancel the run.
func (a *authDeployment) checkDisconnect(body string, want expectation) {
	a.Helper()
	response := a.request(depotToken, http.MethodPost, "/v1/completions", body)
	if _, err := io.ReadFull(response.Body, make([]byte, 1)); err != nil {
		a.Fatal(err)
	}
	response.Body.Close()
	id := response.Header.Get("Shallotring-Request")
	for end := time.Now().Add(testTimeout / 10); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if status, _ := a.requestRecord(depotToken, id); status == http.StatusOK && a.cancelled(id) {
			a.checkTimeline(want, id)
			return
		}
	}
	a.Errorf("%s: there is no request record, or the engine has not cancelled the run", want.name)
}

func (a *authDeployment) cancelled(id string) bool {
	for _, e := range a.Platform().Engines {
		for _, r := range e.Journal() {
			if strings.HasPrefix(r.RequestID, id+"/") {
				return r.Cancelled
			}
		}
	}
	return false
}

// checkRetry checks that the response to a retry with a completed idempotency key names the request that ran, and that the retry
// has no try of its own.
func (a *authDeployment) checkRetry(first string, response *http.Response) {
	a.Helper()
	defer response.Body.Close()
	if got := response.Header.Get("Shallotring-Request"); got != first || response.Header.Get("Shallotring-Outcome") != "completed" {
		a.Errorf("retry: the response names request %s and outcome %s", got, response.Header.Get("Shallotring-Outcome"))
	}
	for line := range strings.Lines(a.log.String()) {
		var l timeline.Line
		if json.Unmarshal([]byte(line), &l) == nil && l.ReplayOf != "" {
			if string(l.ReplayOf) != first || l.Try != 0 || l.Outcome != "completed" || l.Caller != "depot" {
				a.Errorf("retry: wrong log line: %s", line)
			}
			return
		}
	}
	a.Errorf("no log line says that the response of request %s was replayed", first)
}

// outcomeCounts reads the number of requests by outcome from the metrics of the entry.
func (a *authDeployment) outcomeCounts() (n map[string]int) {
	a.Helper()
	n = map[string]int{}
	for _, o := range []string{"completed", "not-run", "unknown"} {
		n[o] = int(a.metric(a.AdminAddress(), fmt.Sprintf("shallotring_entry_requests_total{outcome=%q}", o)))
	}
	return n
}

// metric reads one metric from an admin port; it returns zero if the metric does not exist.
func (a *authDeployment) metric(address, name string) (value float64) {
	a.Helper()
	w, err := http.Get("http://" + address + "/metrics")
	if err != nil {
		a.Fatal(err)
	}
	defer w.Body.Close()
	text, err := io.ReadAll(w.Body)
	if err != nil {
		a.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, name+" "); ok {
			if _, err = fmt.Sscan(rest, &value); err != nil {
				a.Fatal(err)
			}
		}
	}
	return value
}

// TestLogsContainNoSecrets guards against a log line that contains a token, a prompt or a digest of one, whether the request
// succeeds, is refused or fails.
func TestLogsContainNoSecrets(t *testing.T) {
	a := newAuthDeployment(t)
	a.Platform().Service.SetHooks(nil, func(r *http.Request) {
		if r.URL.Path == "/fail" {
			panic(http.ErrAbortHandler)
		}
	})
	prompt := "the assay of core 17 is confidential"
	body := fmt.Sprintf(`{"model":"adapter-01","prompt":%q,"max_tokens":4}`, prompt)
	chat := fmt.Sprintf(`{"model":"adapter-02","stream":true,"max_tokens":4,"messages":[{"role":"user","content":%q}]}`, prompt)
	for _, q := range []struct{ token, path, body, key string }{
		{depotToken, "/v1/completions", body, ""},
		{depotToken, "/v1/completions", body, "k-1"},
		{depotToken, "/v1/completions", body, "k-1"},
		{depotToken, "/v1/chat/completions", chat, ""},
		{labToken, "/services/custody/orders", prompt, "k-2"},
		{labToken, "/services/custody/orders", prompt + "!", "k-2"},
		{"a-token-of-nobody", "/v1/completions", body, ""},
		{depotToken, "/v1/completions", `{"model":"adapter-01","prompt":"` + prompt, ""},
		{depotToken, "/v1/completions", strings.Replace(body, "adapter-01", "none", 1), ""},
		{depotToken, "/nowhere/" + depotToken, body, ""},
		{depotToken, "/services/custody/lists?token=" + depotToken, prompt, ""},
		{depotToken, "/services/custody/fail?token=" + depotToken, prompt, ""},
	} {
		var header []string
		if q.key != "" {
			header = []string{"Idempotency-Key", q.key}
		}
		w := a.request(q.token, http.MethodPost, q.path, q.body, header...)
		if _, err := io.Copy(io.Discard, w.Body); err != nil {
			t.Fatal(err)
		}
		w.Body.Close()
	}
	text := strings.ToLower(a.log.String())
	if !strings.Contains(text, "request finished") || !strings.Contains(text, "try started") {
		t.Fatal("the log has no lines about the requests")
	}
	hexDigest := func(s string) string { return fmt.Sprintf("%x", sha256.Sum256([]byte(s))) }
	for name, secret := range map[string]string{
		"token": depotToken, "other token": labToken, "unknown token": "a-token-of-nobody", "prompt": prompt,
		"digest of the token": hexDigest(depotToken)[:16], "digest of the prompt": engine.PromptDigest(prompt),
		"digest of the body": hexDigest(body)[:16], "digest of the order": hexDigest(prompt)[:16], "bearer": "bearer ",
	} {
		if i := strings.Index(text, strings.ToLower(secret)); i >= 0 {
			t.Errorf("%s is in the log: %.200s", name, text[max(0, i-100):])
		}
	}
}

// TestUnknownTokensAreRefused guards against serving a request whose bearer token is missing or belongs to no declared caller.
func TestUnknownTokensAreRefused(t *testing.T) {
	a := newAuthDeployment(t)
	for token, want := range map[string]int{depotToken: 200, labToken: 200, "": 401, depotToken + "x": 401, strings.ToUpper(labToken): 401} {
		w := a.request(token, http.MethodGet, "/v1/models", "")
		w.Body.Close()
		if w.StatusCode != want {
			t.Errorf("token %q: status %d, want %d", token, w.StatusCode, want)
		}
	}
}
