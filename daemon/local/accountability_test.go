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

// collected is the log of all processes of a deployment.
type collected struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (c *collected) Write(p []byte) (n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.b.Write(p)
}

func (c *collected) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.b.String()
}

func caller(name, token string) resource.Caller {
	digest := sha256.Sum256([]byte(token))
	return resource.Caller{Name: ident.Caller(name), TokenSHA256: hex.EncodeToString(digest[:])}
}

// account runs requests through a deployment with two callers and reads what can be known of them.
type account struct {
	*testing.T
	*Deployment
	log *collected
}

func newAccount(t *testing.T) *account {
	log := &collected{}
	// Libraries write to the standard log.
	standard := logging.Writer()
	logging.SetOutput(log)
	t.Cleanup(func() { logging.SetOutput(standard) })
	return &account{T: t, log: log, Deployment: start(t, WithLog(log, slog.LevelDebug), WithTokenInterval(time.Millisecond),
		WithCallers(caller("depot", depotToken), caller("lab", labToken)))}
}

// request is one call of the callers' API; header holds pairs.
func (a *account) request(token, method, path, body string, header ...string) *http.Response {
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

// lines returns what the operator's command shows for a request.
func (a *account) lines(id string) (list []timeline.Line) {
	a.Helper()
	var out, fault bytes.Buffer
	code := operator.Run(context.Background(), []string{"timeline", "--request", id, "--output", "json"},
		operator.Streams{In: strings.NewReader(a.log.String()), Out: &out, Err: &fault})
	if code != operator.ExitSuccess || fault.Len() > 0 {
		a.Fatalf("timeline: exit code %d, %s", code, fault.String())
	}
	for d := json.NewDecoder(&out); ; {
		var l timeline.Line
		if err := d.Decode(&l); err == io.EOF {
			return list
		} else if err != nil {
			a.Fatal(err)
		}
		list = append(list, l)
	}
}

// runs counts what the stand-ins executed of a request, and returns the model of the last run.
func (a *account) runs(id string) (n int, model string) {
	for _, e := range a.Platform().Engines {
		for _, r := range e.Journal() {
			if strings.HasPrefix(r.RequestID, id+"/") {
				n, model = n+1, r.Model
			}
		}
	}
	return n, model
}

// record is the answer of GET /v1/requests/{id}.
func (a *account) record(token, id string) (status int, r struct {
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

// anyTries stands for one try or more: the retry budget decides how many.
const anyTries = -1

type expectation struct {
	name    string
	model   string // adapter@version that must have run or been refused; empty if none is known
	service string
	status  int
	outcome string
	reason  string
	tries   int
	prompt  int
	tokens  int
}

func (w expectation) tried(n int) bool { return n == w.tries || (w.tries == anyTries && n > 0) }

// check compares log, record, answer and journals for one request.
func (a *account) check(w expectation, answer *http.Response) (id string) {
	a.Helper()
	id = answer.Header.Get("Shallotring-Request")
	body, readErr := io.ReadAll(answer.Body)
	answer.Body.Close()
	header := answer.Header.Get("Shallotring-Outcome") + answer.Trailer.Get("Shallotring-Outcome")
	if answer.StatusCode != w.status || (readErr == nil && header != w.outcome) {
		a.Errorf("%s: answer %d, outcome %q: %s", w.name, answer.StatusCode, header, body)
	}
	status, r := a.record(depotToken, id)
	model := strings.TrimSuffix(r.Adapter+"@"+r.Version, "@")
	if status != http.StatusOK || r.Outcome != w.outcome || r.Reason != w.reason || model != w.model || r.Service != w.service ||
		r.Status != w.status || !w.tried(len(r.Tries)) || r.PromptTokens != w.prompt || r.CompletionTokens != w.tokens {
		a.Errorf("%s: record %d %+v", w.name, status, r)
	}
	if other, _ := a.record(labToken, id); other != http.StatusNotFound {
		a.Errorf("%s: another caller's view: %d", w.name, other)
	}
	a.checkLines(w, id)
	return id
}

func (a *account) checkLines(w expectation, id string) {
	a.Helper()
	count, endpoints := map[string]int{}, map[string]bool{}
	var last timeline.Line
	for _, l := range a.lines(id) {
		count[l.Role+": "+l.Message]++
		if l.Message == "try started" {
			endpoints[string(l.Endpoint)] = true
			if w.service == "" && string(l.Adapter)+"@"+string(l.Version) != w.model {
				a.Errorf("%s: agent ran %s@%s", w.name, l.Adapter, l.Version)
			}
		}
		if l.Message == "request finished" {
			last = l
		}
	}
	model := strings.TrimSuffix(string(last.Adapter+"@")+string(last.Version), "@")
	if last.Caller != "depot" || model != w.model || string(last.Service) != w.service || last.Outcome != w.outcome ||
		last.Reason != w.reason || last.Status != w.status || !w.tried(int(last.Try)) ||
		int(last.PromptTokens) != w.prompt || int(last.CompletionTokens) != w.tokens || last.Time.IsZero() {
		a.Errorf("%s: last line %s", w.name, last.Raw)
	}
	if !w.tried(count["entry: try dispatched"]) || count["entry: request finished"] != 1 {
		a.Errorf("%s: %v", w.name, count)
	}
	if w.service == "" {
		n, ran := a.runs(id)
		if n != count["agent: try started"] || (n > 0 && ran != w.model) {
			a.Errorf("%s: engines ran %d times on %s, agents started %d", w.name, n, ran, count["agent: try started"])
		}
	}
	if w.outcome == "not-run" && count["agent: try started"] > 0 {
		a.Errorf("%s: not run, but started: %v", w.name, count)
	}
	if w.outcome == "completed" && w.tries > 0 && !endpoints[string(last.Endpoint)] {
		a.Errorf("%s: endpoint %s did not start it: %v", w.name, last.Endpoint, endpoints)
	}
}

// Guards against an invoice line that the timeline cannot settle: a request whose caller, adapter, version, endpoint, tries,
// outcome or tokens differ between answer, log, record, metric and what the endpoints ran.
func TestTimelineAccountsForEachRequest(t *testing.T) {
	a := newAccount(t)
	before := a.outcomes()
	post := func(path, body string, header ...string) *http.Response {
		return a.request(depotToken, http.MethodPost, path, body, header...)
	}
	const text, orders = "/v1/completions", "/services/custody/orders"
	plain := `{"model":"adapter-01","prompt":"one two three","max_tokens":5}`
	a.check(expectation{"plain", "adapter-01@v2", "", 200, "completed", "", 1, 3, 5}, post(text, plain))
	a.check(expectation{"keyed", "adapter-01@v2", "", 200, "completed", "", 1, 3, 5}, post(text, plain, "Idempotency-Key", "c-1"))
	a.check(expectation{"streamed", "adapter-02@v1", "", 200, "completed", "", 1, 2, 4}, post("/v1/chat/completions",
		`{"model":"adapter-02@v1","stream":true,"max_tokens":4,"messages":[{"role":"user","content":"four five"}]}`))
	a.check(expectation{"service", "", "custody", 200, "completed", "", 1, 0, 0}, post("/services/custody/lists", `{}`))
	first := a.check(expectation{"order", "", "custody", 200, "completed", "", 1, 0, 0}, post(orders, `{"Box":1}`, "Idempotency-Key", "o-1"))
	a.repeated(first, post(orders, `{"Box":1}`, "Idempotency-Key", "o-1"))

	a.check(expectation{"malformed", "", "", 400, "not-run", "malformed_json", 0, 0, 0}, post(text, `{`))
	a.check(expectation{"unknown model", "", "", 404, "not-run", "model_not_found", 0, 0, 0}, post(text, `{"model":"none","prompt":"x"}`))
	a.check(expectation{"no key", "", "custody", 400, "not-run", "missing_idempotency_key", 0, 0, 0}, post(orders, `{}`))
	a.check(expectation{"reused key", "", "custody", 422, "not-run", "key-mismatch", 0, 0, 0}, post(orders, `{"Box":2}`, "Idempotency-Key", "o-1"))
	a.check(expectation{"old key", "", "custody", 422, "not-run", "key_expired", 0, 0, 0},
		post(orders, `{}`, "Idempotency-Key", "01890000-0000-7000-8000-000000000000"))
	a.check(expectation{"late", "", "", 408, "not-run", "deadline_expired", 0, 0, 0}, post(text, plain, "Shallotring-Deadline", "2026-01-01T00:00:00Z"))
	a.Platform().KeyValue.SetOutage(keyvalue.OutageRefused)
	a.check(expectation{"ledger down", "", "custody", 503, "not-run", "ledger-down", 0, 0, 0}, post(orders, `{}`, "Idempotency-Key", "o-2"))
	a.Platform().KeyValue.SetOutage(keyvalue.OutageNone)

	a.Platform().Weights.Fail(func(path string) bool { return path == "adapter-05/v2" })
	a.check(expectation{"load failure", "adapter-05@v2", "", 503, "not-run", "load-failed", anyTries, 0, 0},
		post(text, `{"model":"adapter-05","prompt":"x"}`))
	a.Platform().Weights.Fail(nil)

	a.Platform().Service.SetHooks(nil, func(*http.Request) { panic(http.ErrAbortHandler) })
	a.check(expectation{"lost answer", "", "custody", 502, "unknown", "broken-stream", 1, 0, 0}, post(orders, `{"Box":3}`, "Idempotency-Key", "o-3"))
	a.Platform().Service.SetHooks(nil, nil)
	a.check(expectation{"repeat of unknown", "", "custody", 409, "unknown", "key-unknown", 0, 0, 0}, post(orders, `{"Box":3}`, "Idempotency-Key", "o-3"))
	if runs := a.Platform().Service.Journal(); len(runs) != 3 {
		t.Errorf("the service ran %+v", runs)
	}
	cut := post(text, `{"model":"adapter-03@v1","prompt":"x","stream":true,"max_tokens":60000}`)
	if _, err := io.ReadFull(cut.Body, make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	for _, e := range a.Platform().Engines {
		e.Restart()
	}
	a.check(expectation{"cut stream", "adapter-03@v1", "", 200, "unknown", "broken-stream", 1, 0, 0}, cut)

	a.leave(`{"model":"adapter-04@v1","prompt":"x","stream":true,"max_tokens":60000}`, expectation{
		"caller gone", "adapter-04@v1", "", 200, "unknown", "caller-gone", 1, 0, 0})

	after := a.outcomes()
	for o, want := range map[string]int{"completed": 6, "not-run": 8, "unknown": 4} {
		if got := after[o] - before[o]; got != want {
			t.Errorf("metric: %d requests %s, want %d", got, o, want)
		}
	}
}

// leave disconnects in the middle of a stream; the engine must then cancel it.
func (a *account) leave(body string, w expectation) {
	a.Helper()
	answer := a.request(depotToken, http.MethodPost, "/v1/completions", body)
	if _, err := io.ReadFull(answer.Body, make([]byte, 1)); err != nil {
		a.Fatal(err)
	}
	answer.Body.Close()
	id := answer.Header.Get("Shallotring-Request")
	for end := time.Now().Add(testTimeout / 10); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if status, _ := a.record(depotToken, id); status == http.StatusOK && a.cancelled(id) {
			a.checkLines(w, id)
			return
		}
	}
	a.Errorf("%s: no record, or the engine still runs it", w.name)
}

func (a *account) cancelled(id string) bool {
	for _, e := range a.Platform().Engines {
		for _, r := range e.Journal() {
			if strings.HasPrefix(r.RequestID, id+"/") {
				return r.Cancelled
			}
		}
	}
	return false
}

// repeated checks that the repeat of a completed key names the request that ran and has no try of its own.
func (a *account) repeated(first string, answer *http.Response) {
	a.Helper()
	defer answer.Body.Close()
	if got := answer.Header.Get("Shallotring-Request"); got != first || answer.Header.Get("Shallotring-Outcome") != "completed" {
		a.Errorf("repeat: request %s, outcome %s", got, answer.Header.Get("Shallotring-Outcome"))
	}
	for line := range strings.Lines(a.log.String()) {
		var l timeline.Line
		if json.Unmarshal([]byte(line), &l) == nil && l.ReplayOf != "" {
			if string(l.ReplayOf) != first || l.Try != 0 || l.Outcome != "completed" || l.Caller != "depot" {
				a.Errorf("repeat: %s", line)
			}
			return
		}
	}
	a.Errorf("no line names the answer of %s", first)
}

// outcomes reads the counters of requests by outcome from the admin port.
func (a *account) outcomes() (n map[string]int) {
	a.Helper()
	n = map[string]int{}
	for _, o := range []string{"completed", "not-run", "unknown"} {
		n[o] = int(a.metric(a.AdminAddress(), fmt.Sprintf("shallotring_entry_requests_total{outcome=%q}", o)))
	}
	return n
}

// metric reads one value from an admin port; zero if it does not exist.
func (a *account) metric(address, name string) (value float64) {
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

// Guards against a token or a digest of a prompt in a log line, on any path that a request can take.
func TestLogsHoldNoSecrets(t *testing.T) {
	a := newAccount(t)
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
		t.Fatal("the log of the requests is missing")
	}
	sum := func(s string) string { return fmt.Sprintf("%x", sha256.Sum256([]byte(s))) }
	for name, secret := range map[string]string{
		"token": depotToken, "other token": labToken, "unknown token": "a-token-of-nobody", "prompt": prompt,
		"digest of the token": sum(depotToken)[:16], "digest of the prompt": engine.PromptDigest(prompt),
		"digest of the body": sum(body)[:16], "digest of the order": sum(prompt)[:16], "bearer": "bearer ",
	} {
		if i := strings.Index(text, strings.ToLower(secret)); i >= 0 {
			t.Errorf("%s is in the log: %.200s", name, text[max(0, i-100):])
		}
	}
}

// Guards against a caller without a known token that is served.
func TestTokens(t *testing.T) {
	a := newAccount(t)
	for token, want := range map[string]int{depotToken: 200, labToken: 200, "": 401, depotToken + "x": 401, strings.ToUpper(labToken): 401} {
		w := a.request(token, http.MethodGet, "/v1/models", "")
		w.Body.Close()
		if w.StatusCode != want {
			t.Errorf("token %q: %d, want %d", token, w.StatusCode, want)
		}
	}
}
