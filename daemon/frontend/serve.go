package frontend

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"shallotring.dev/protocol/upstream"
	"shallotring.dev/state/call"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/outcome"
	"shallotring.dev/state/routing"
)

const (
	// defaultWait bounds a request that names no time and whose route has none.
	defaultWait = 30 * time.Second
	// maxSends bounds the endpoints that one request is offered to, whether or not it ran there.
	maxSends = 4
	// margin is kept back from the time that an endpoint is given, so that its last answer still reaches the caller.
	margin = 20 * time.Millisecond
	// shortest is the least time that is worth an endpoint's work.
	shortest = 30 * time.Millisecond
	// unavailable is the time after which callers may return when nothing can serve them; discovery and load reports change
	// within it.
	unavailable = 300 * time.Millisecond
	// restart is the time after which callers may return when no endpoint is there: engines that started empty need about as
	// long to load their model.
	restart = time.Second
	// maxBody bounds a request body if the configuration names no limit.
	maxBody = 4 << 20
)

// errTimeout is the cause of an exchange that ended at the request's deadline.
var errTimeout = eris.New("deadline of the request")

// request is one request in progress; its handler's goroutine owns it.
type request struct {
	call    call.Call
	route   routing.Route
	service ident.Service
	// configuration is the version that selected the route.
	configuration int64
	adapter       ident.AdapterVersion
	arrived       time.Time
	deadline      time.Time
	method        string
	target        string
	host          string
	header        http.Header
	body          []byte
	hasBody       bool
	// excluded are the endpoints that have refused or failed the request.
	excluded []ident.Endpoint
	// reading is the number of prompt tokens that the current endpoint is expected to read.
	reading ident.Tokens
	// source is the address of an engine that has read the beginning of the prompt.
	source string
	sends  int
	runs   int
}

// requestKey is the field of the request's id, as in the timeline of the other programs.
var requestKey = "RequestID"

func (x *request) id() slog.Attr { return slog.String(requestKey, string(x.call.ID)) }

// ServeHTTP serves one request of a caller.
func (f *Frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := f.clock.Now()
	f.metrics.requests.Inc()
	if f.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	x, status, err := f.admit(w, r, now)
	if err != nil {
		f.refuse(w, x, status, err.Error(), unavailable)
		return
	}
	ctx, cancel := context.WithDeadlineCause(r.Context(), x.deadline, errTimeout)
	defer cancel()
	if err := http.NewResponseController(w).SetWriteDeadline(x.deadline.Add(writeGrace)); err != nil {
		f.log.Warn("no write deadline", x.id(), slog.Any("Error", err))
	}
	f.run(ctx, w, x)
}

// admit reads a request whole; the status says how it is refused.
func (f *Frontend) admit(w http.ResponseWriter, r *http.Request, now time.Time) (x *request, status int, err error) {
	x = &request{arrived: now, method: r.Method, target: r.RequestURI, host: r.Host}
	if x.call, err = f.headers.Decode(r.Header); err != nil {
		return x, http.StatusBadRequest, err
	}
	routes := f.routes.Load()
	if routes == nil {
		return x, http.StatusServiceUnavailable, eris.New("no configuration is known yet")
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	host, _, _ := strings.Cut(strings.ToLower(r.Host), ":")
	route, ok := routes.Match(host, path)
	if !ok {
		return x, http.StatusNotFound, eris.Errorf("no route for %s%s in version %d", host, path, routes.Version)
	}
	x.route, x.configuration = route, routes.Version
	limit := routes.Limits.BodyBytes
	if limit <= 0 {
		limit = maxBody
	}
	x.body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return x, http.StatusRequestEntityTooLarge, err
	case err != nil:
		return x, http.StatusBadRequest, eris.Wrap(err, "read body")
	}
	x.hasBody = len(x.body) > 0 || r.ContentLength == 0 && r.Method != http.MethodGet && r.Method != http.MethodHead
	x.header = forwarded(r.Header)
	wait := defaultWait
	if route.Timeout > 0 {
		wait = route.Timeout
	}
	if x.call.Timeout > 0 {
		wait = min(wait, x.call.Timeout)
	}
	x.deadline = now.Add(wait)
	if end := f.end.Load(); end != nil && (route.Kind == routing.Stream || x.deadline.After(*end)) {
		return x, http.StatusServiceUnavailable, eris.New("the entry is stopping")
	}
	f.mu.Lock()
	x.service, ok = route.Pick(f.random.Float64())
	if x.call.Adapter != "" {
		x.adapter = ident.AdapterVersion{Adapter: x.call.Adapter, Version: f.version(x.call.Adapter)}
	}
	f.budget(x.service).Fresh(now)
	f.mu.Unlock()
	if !ok {
		return x, http.StatusServiceUnavailable, eris.Errorf("route %s has no service", route.Name)
	}
	return x, 0, nil
}

// firstVersion is the version of adapters of which none has been declared.
const firstVersion = "1"

func (f *Frontend) version(a ident.Adapter) ident.Version {
	if v, ok := f.versions[a]; ok {
		return v
	}
	return firstVersion
}

// connectionHeaders concern one connection only.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect", "Proxy-Authorization", "Proxy-Authenticate",
}

// forwarded copies the headers that do not concern one connection only.
func forwarded(h http.Header) http.Header {
	c := make(http.Header, len(h)+4)
	for name, values := range h {
		c[name] = values
	}
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			delete(c, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range connectionHeaders {
		delete(c, name)
	}
	return c
}

// run offers the request to endpoints until one has answered or nothing more may be tried.
func (f *Frontend) run(ctx context.Context, w http.ResponseWriter, x *request) {
	for {
		e, refusal := f.place(ctx, x)
		if refusal != nil {
			f.give(ctx, w, x, refusal)
			return
		}
		done, again := f.offer(ctx, w, x, e)
		if done {
			return
		}
		if !again {
			f.give(ctx, w, x, &outcome.Refusal{Reason: outcome.EngineDown, RetryAfter: unavailable, Detail: "no endpoint could be reached"})
			return
		}
	}
}

// give answers a request that has no endpoint. If it ran before, a refusal would not be true.
func (f *Frontend) give(ctx context.Context, w http.ResponseWriter, x *request, r *outcome.Refusal) {
	left := ctx.Err() != nil && !errors.Is(context.Cause(ctx), errTimeout)
	if x.runs > 0 || left {
		f.fail(ctx, w, x)
		return
	}
	f.refuse(w, x, http.StatusServiceUnavailable, string(r.Reason)+" "+r.Detail, r.RetryAfter)
}

// refuse answers with a status that promises that the request has not run, or that it is not allowed.
func (f *Frontend) refuse(w http.ResponseWriter, x *request, status int, reason string, after time.Duration) {
	if !f.mayRefuse(x, status) {
		f.fail(context.Background(), w, x)
		return
	}
	f.metrics.refused.Inc()
	f.log.Info("request refused", x.id(), slog.Int("Status", status), slog.String("Reason", reason),
		slog.String("Route", x.route.Name), slog.String("Adapter", x.adapter.String()), slog.Int("Sends", x.sends),
		slog.Int64("RetryAfterMilli", after.Milliseconds()), slog.Int64("DurationMilli", f.clock.Since(x.arrived).Milliseconds()))
	h := w.Header()
	f.headers.Named(h, x.call.ID)
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Length", "0")
	w.WriteHeader(status)
}

// fail answers a request that may have run, at once; a caller that has left gets nothing.
func (f *Frontend) fail(ctx context.Context, w http.ResponseWriter, x *request) {
	status := http.StatusBadGateway
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, errTimeout):
		status = http.StatusGatewayTimeout
	case ctx.Err() != nil:
		f.metrics.abandoned.Inc()
		f.log.Info("request abandoned", x.id(), slog.String("Route", x.route.Name), slog.Int("Sends", x.sends),
			slog.Int64("DurationMilli", f.clock.Since(x.arrived).Milliseconds()))
		panic(http.ErrAbortHandler)
	}
	f.metrics.unknown.Inc()
	f.log.Info("request failed", x.id(), slog.Int("Status", status), slog.String("Route", x.route.Name),
		slog.String("Adapter", x.adapter.String()), slog.Int("Sends", x.sends), slog.Int("Runs", x.runs),
		slog.Int64("DurationMilli", f.clock.Since(x.arrived).Milliseconds()))
	h := w.Header()
	f.headers.Named(h, x.call.ID)
	h.Set("Content-Length", "0")
	w.WriteHeader(status)
}

// repeatable reports whether the request may run once more.
func (x *request) repeatable() bool {
	return x.route.Kind == routing.Repeatable || (x.route.Kind == routing.Stream && x.route.Resumable)
}

// again decides about one more endpoint; ran tells whether the last one may have run the request.
func (f *Frontend) again(x *request, e *endpoint, ran bool) bool {
	x.excluded = append(x.excluded, e.name)
	if ran {
		x.runs++
	}
	now := f.clock.Now()
	if (ran && (!x.repeatable() || x.runs >= x.route.MaxEndpoints)) || x.sends >= maxSends || x.deadline.Sub(now) < shortest {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.budget(x.service).Take(now, f.peers(now)) {
		f.log.Info("repeat refused by the budget", x.id(), slog.String("Service", string(x.service)))
		return false
	}
	f.metrics.repeats.Inc()
	return true
}

// offer sends the request to one endpoint; done means that the caller has its answer, again that another one may be tried.
func (f *Frontend) offer(ctx context.Context, w http.ResponseWriter, x *request, e *endpoint) (done, again bool) {
	if !f.maySend(x) {
		return false, false
	}
	q := f.query(x)
	began := f.clock.Now()
	ended := false
	end := func(started bool) {
		if !ended {
			ended = true
			f.ended(x, e, q, started)
		}
	}
	defer func() { end(false) }()
	x.sends++
	dispatch := call.Dispatch{Endpoint: e.name, Version: x.adapter.Version, Remaining: x.deadline.Sub(began) - margin, Priority: x.route.Priority}
	if x.call.Model == "" {
		dispatch.Priority = -1
	}
	dispatch.Source = x.source
	header := make(http.Header, len(x.header)+4)
	for name, values := range x.header {
		header[name] = values
	}
	f.headers.Forward(header, dispatch)
	a, err := e.pool.Do(ctx, upstream.Request{Method: x.method, Target: x.target, Host: x.host, Header: header, Body: x.body, HasBody: x.hasBody})
	if err != nil {
		return false, f.unanswered(ctx, x, e, began, err)
	}
	defer a.Close()
	return f.answered(ctx, w, x, e, a, began, end)
}

// unanswered decides after a send without an answer whether another endpoint may be tried.
func (f *Frontend) unanswered(ctx context.Context, x *request, e *endpoint, began time.Time, err error) (again bool) {
	unsent := upstream.Unsent(err)
	f.log.Info("endpoint gave no answer", x.id(), slog.String("Endpoint", string(e.name)), slog.Bool("Sent", !unsent),
		slog.Int64("DurationMilli", f.clock.Since(began).Milliseconds()), slog.Any("Error", err))
	if ctx.Err() != nil {
		if !unsent {
			x.runs++
		}
		return false
	}
	f.count(e, true, unsent && !eris.Is(err, upstream.ErrFull))
	if unsent {
		// Nothing arrived, so this is no repeat.
		x.excluded = append(x.excluded, e.name)
		return x.sends < maxSends && x.deadline.Sub(f.clock.Now()) > shortest
	}
	return f.again(x, e, true)
}

// answered judges the head of an answer and passes the answer on, or decides whether another endpoint may be tried; end takes
// the request off the endpoint's waiting prompts.
func (f *Frontend) answered(ctx context.Context, w http.ResponseWriter, x *request, e *endpoint, a *upstream.Answer, began time.Time, end func(started bool)) (done, again bool) {
	v := f.headers.Verdict(a.Status, a.Header)
	refused := v.NotRun
	broken := (v.ID != "" && v.ID != x.call.ID) || v.Encoded || (a.Status < 300 && !v.Sealed) || a.Status < 200 || (a.Status >= 300 && a.Status < 400)
	// These statuses promise callers that nothing ran; without the endpoint's own promise they are not passed on.
	promise := promises(a.Status)
	f.log.Info("endpoint answered", x.id(), slog.String("Endpoint", string(e.name)), slog.Int("Status", a.Status),
		slog.Bool("NotRun", v.NotRun), slog.Bool("Sealed", v.Sealed), slog.Bool("Broken", broken), slog.Int("Send", x.sends), slog.String("Adapter", x.adapter.String()),
		slog.Int64("DurationMilli", f.clock.Since(began).Milliseconds()))
	switch {
	case refused && (v.ID == "" || v.ID == x.call.ID):
		f.count(e, !v.Misdirected, false)
		if v.Misdirected {
			f.misdirected(x, e)
		}
		if f.again(x, e, false) {
			return false, true
		}
		f.give(ctx, w, x, &outcome.Refusal{Reason: outcome.QueueFull, RetryAfter: unavailable, Detail: "endpoint refused"})
		return true, false
	case broken || promise:
		f.metrics.foreign.Inc()
		f.count(e, true, false)
		return false, f.again(x, e, true)
	case a.Status >= 500 && x.repeatable():
		f.count(e, true, false)
		if f.again(x, e, true) {
			return false, true
		}
	case a.Status >= 500:
		f.count(e, true, false)
	default:
		f.count(e, false, false)
	}
	f.metrics.first.Update(f.clock.Since(x.arrived).Seconds())
	if strings.HasPrefix(a.Header.Get("Content-Type"), "text/event-stream") {
		end(true)
		return f.stream(ctx, w, x, e, a), false
	}
	return f.whole(ctx, w, x, e, a)
}
