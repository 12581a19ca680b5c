package frontend

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"shallotring.dev/protocol/mediatype"
	"shallotring.dev/protocol/upstream"
	"shallotring.dev/state/call"
	"shallotring.dev/state/fingerprint"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/outcome"
	"shallotring.dev/state/placement"
	"shallotring.dev/state/routing"
	"shallotring.dev/transport/guard"
	"shallotring.dev/transport/server"
)

const (
	// defaultTimeout is the timeout of a request if neither the caller nor the route sets one.
	defaultTimeout = 30 * time.Second
	// maxSends is the maximum number of endpoints that one request is sent to, whether or not it ran there.
	maxSends = 4
	// responseMargin is subtracted from the remaining time that an endpoint is given, so that a response at the last moment still
	// reaches the caller.
	responseMargin = 20 * time.Millisecond
	// minRemaining is the remaining time below which a request is not sent to an endpoint any more.
	minRemaining = 30 * time.Millisecond
	// unavailableRetryAfter is the Retry-After time if no endpoint can serve the request now; discovery and load reports change
	// within it.
	unavailableRetryAfter = 300 * time.Millisecond
	// unconfiguredRetryAfter is the Retry-After time of model requests before the entry has a configuration: after a restart of all hosts,
	// the engines have to load their model and adapters once the configuration is known.
	unconfiguredRetryAfter = 2 * time.Second
	// restartRetryAfter is the Retry-After time if there is no endpoint: engines that have just started need about as long to
	// load their model.
	restartRetryAfter = time.Second
)

// errTimeout is the cause of a context that ended at the request's deadline.
var errTimeout = eris.New("the request reached its deadline")

// request is one request in progress; only the goroutine of its handler uses it.
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
	// conn is the connection of the caller with what the process holds for it.
	conn *guard.Conn
	// excluded lists the endpoints that refused the request, failed or did not load its adapter.
	excluded []ident.Endpoint
	// try is the request at the current endpoint in the placement's counts.
	try placement.Try
	// source is the engine that is expected to have cached the prompt prefix, from which the endpoint may fetch it; nil if there is none.
	source *endpoint
	// sends counts the sends to endpoints, and runs those of them in which the request may have run.
	sends int
	runs  int
	// sentAt is the time of the last send.
	sentAt time.Time
	// interruptions counts the runs that ended with their connection to the engine.
	interruptions int
	// identity is nil until it is needed.
	identity *identity
	// probation is the fingerprint in quarantine for which this send may show that endpoints survive it, and loadProbation that of the load of
	// its adapter; zero for other requests.
	probation, loadProbation fingerprint.Fingerprint
	// partProbation is the prompt part in quarantine for which this send may show that engines survive it, 0 for other requests; probationEnd is the
	// time until which no other entry takes one.
	partProbation call.PartID
	probationEnd  time.Time
}

// requestIDKey is the log attribute of the request id; the timelines of the other programs use the same one.
var requestIDKey = "RequestID"

func (x *request) id() slog.Attr { return slog.String(requestIDKey, string(x.call.ID)) }

// ServeHTTP serves one request of a caller.
func (f *Frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer server.ResetAborted(w, r)
	now := f.clock.Now()
	f.metrics.requests.Inc()
	if f.closingConnections.Load() {
		w.Header().Set("Connection", "close")
	}
	conn := f.guard.Conn(r)
	defer conn.End()
	x, status, err := f.readRequest(w, r, conn, now)
	if err != nil {
		retryAfter := unavailableRetryAfter
		if x.configuration == 0 && x.call.Model != "" {
			retryAfter = unconfiguredRetryAfter
		}
		f.refuse(w, x, status, err.Error(), retryAfter)
		return
	}
	ctx, cancel := context.WithDeadlineCause(r.Context(), x.deadline, errTimeout)
	defer cancel()
	if err := http.NewResponseController(w).SetWriteDeadline(x.deadline.Add(writeGracePeriod)); err != nil {
		f.log.Warn("setting the write deadline failed; a caller that does not read is not disconnected", x.id(), slog.Any("Error", err))
	}
	f.dispatch(ctx, w, x)
}

// readRequest reads a request and its body completely and selects its route; on an error, status is the status of the refusal.
func (f *Frontend) readRequest(w http.ResponseWriter, r *http.Request, conn *guard.Conn, now time.Time) (x *request, status int, err error) {
	x = &request{conn: conn, arrived: now, method: r.Method, target: r.RequestURI, host: r.Host}
	if x.call, err = f.headers.Decode(r.Header); err != nil {
		return x, http.StatusBadRequest, err
	}
	routes := f.routes.Load()
	if routes == nil {
		return x, http.StatusServiceUnavailable, eris.New("no configuration has been received yet")
	}
	host, path := x.routeKey()
	route, ok := routes.Match(host, path)
	if !ok {
		return x, http.StatusNotFound, eris.Errorf("no route for %s%s in configuration version %d", host, path, routes.Version)
	}
	x.route, x.configuration = route, routes.Version
	timeout := defaultTimeout
	if route.Timeout > 0 {
		timeout = route.Timeout
	}
	if x.call.Timeout > 0 {
		timeout = min(timeout, x.call.Timeout)
	}
	x.deadline = now.Add(timeout)
	limit := routes.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if x.body, status, err = f.readBody(w, r, x, limit); err != nil {
		return x, status, err
	}
	x.hasBody = len(x.body) > 0 || r.ContentLength == 0 && r.Method != http.MethodGet && r.Method != http.MethodHead
	x.header = endToEndHeaders(r.Header)
	if f.endsTooLate(x) {
		return x, http.StatusServiceUnavailable, eris.New("the entry is stopping")
	}
	f.mu.Lock()
	x.service, ok = route.Pick(f.random.Float64())
	f.setAdapterVersion(x)
	f.retryBudget(x.service).RecordFirstTry(now)
	f.mu.Unlock()
	if !ok {
		return x, http.StatusServiceUnavailable, eris.Errorf("route %s has no service", route.Name)
	}
	return x, 0, nil
}

// connectionHeaders lists the headers that apply to one connection only.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect", "Proxy-Authorization", "Proxy-Authenticate",
}

// endToEndHeaders copies the headers that are forwarded, which are those that do not apply to one connection only.
func endToEndHeaders(h http.Header) http.Header {
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

// dispatch sends the request to endpoints, one after the other, until one has responded or no further one may be tried.
func (f *Frontend) dispatch(ctx context.Context, w http.ResponseWriter, x *request) {
	for {
		e, refusal := f.place(ctx, x)
		if refusal != nil {
			f.refuseUnplaced(ctx, w, x, refusal)
			return
		}
		done, retry := f.send(ctx, w, x, e)
		if done {
			return
		}
		if !retry {
			f.refuseUnplaced(ctx, w, x, &outcome.Refusal{Reason: outcome.EngineDown, RetryAfter: unavailableRetryAfter, Detail: "no endpoint could be reached"})
			return
		}
	}
}

// refuseUnplaced refuses a request that cannot be sent to an endpoint any more. If an endpoint may have run it, the request fails
// instead, because a refusal guarantees that it has not run.
func (f *Frontend) refuseUnplaced(ctx context.Context, w http.ResponseWriter, x *request, r *outcome.Refusal) {
	f.keepProbation(x)
	f.keepPartProbation(x)
	disconnected := ctx.Err() != nil && !errors.Is(context.Cause(ctx), errTimeout)
	if x.runs > 0 || disconnected {
		f.fail(ctx, w, x)
		return
	}
	f.refuse(w, x, http.StatusServiceUnavailable, string(r.Reason)+" "+r.Detail, r.RetryAfter)
}

// refuse responds with a status that states that the request is not allowed, or that it has not run.
func (f *Frontend) refuse(w http.ResponseWriter, x *request, status int, reason string, retryAfter time.Duration) {
	if !f.mayRefuse(x, status) {
		f.fail(context.Background(), w, x)
		return
	}
	f.metrics.refusedRequests.Inc()
	f.log.Info("request refused", x.id(), slog.Int("Status", status), slog.String("Reason", reason),
		slog.String("Route", x.route.Name), slog.String("Adapter", x.adapter.String()), slog.Int("Sends", x.sends),
		slog.Int64("RetryAfterMilli", retryAfter.Milliseconds()), slog.Int64("DurationMilli", f.clock.Since(x.arrived).Milliseconds()))
	h := w.Header()
	f.headers.SetRequestID(h, x.call.ID)
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Length", "0")
	w.WriteHeader(status)
}

// fail responds with an error status to a request that may have run; if the caller has disconnected, it closes the connection.
func (f *Frontend) fail(ctx context.Context, w http.ResponseWriter, x *request) {
	status := http.StatusBadGateway
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, errTimeout):
		status = http.StatusGatewayTimeout
	case ctx.Err() != nil:
		f.metrics.abandonedRequests.Inc()
		f.log.Info("request abandoned", x.id(), slog.String("Route", x.route.Name), slog.Int("Sends", x.sends),
			slog.Int64("DurationMilli", f.clock.Since(x.arrived).Milliseconds()))
		panic(http.ErrAbortHandler)
	}
	f.metrics.unknownOutcomes.Inc()
	f.log.Info("request failed", x.id(), slog.Int("Status", status), slog.String("Route", x.route.Name),
		slog.String("Adapter", x.adapter.String()), slog.Int("Sends", x.sends), slog.Int("Runs", x.runs),
		slog.Int64("DurationMilli", f.clock.Since(x.arrived).Milliseconds()))
	h := w.Header()
	f.headers.SetRequestID(h, x.call.ID)
	h.Set("Content-Length", "0")
	w.WriteHeader(status)
}

// repeatable reports whether the request may run more than once.
func (x *request) repeatable() bool {
	return x.route.Kind == routing.Repeatable || (x.route.Kind == routing.Stream && x.route.Resumable)
}

// prepareRetry excludes the endpoint and reports whether the request may be sent to another one, for which it takes a retry from the
// budget; ran states whether the endpoint may have run the request.
func (f *Frontend) prepareRetry(x *request, e *endpoint, ran bool) bool {
	x.excluded = append(x.excluded, e.name)
	if ran {
		x.runs++
	}
	now := f.clock.Now()
	if (ran && (!x.repeatable() || x.runs >= x.route.MaxEndpoints)) || x.sends >= maxSends || x.deadline.Sub(now) < minRemaining {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.mayRepeatInterrupted(x) {
		f.log.Info("no retry: the request may be the reason why its engine ended", x.id(), slog.Int("Interruptions", x.interruptions))
		return false
	}
	if !f.retryBudget(x.service).Take(now, f.entryCount(now)) {
		f.log.Info("no retry: the retry budget is used up", x.id(), slog.String("Service", string(x.service)))
		return false
	}
	f.metrics.retries.Inc()
	return true
}

// send sends the request to one endpoint; done means that the caller has its response, retry that another endpoint may be tried.
func (f *Frontend) send(ctx context.Context, w http.ResponseWriter, x *request, e *endpoint) (done, retry bool) {
	if !f.maySend(x, e) {
		return false, false
	}
	start := f.clock.Now()
	removed := false
	remove := func(started bool) {
		if !removed {
			removed = true
			f.removeRequest(x, e, started)
		}
	}
	defer func() { remove(false) }()
	x.sentAt = start
	x.sends++
	f.countLimitedSend(x, e)
	defer f.beginExposure(x, e)()
	dispatch := call.Dispatch{Endpoint: e.name, Version: x.adapter.Version, Remaining: x.deadline.Sub(start) - responseMargin, Priority: x.route.Priority}
	if x.call.Model == "" {
		dispatch.Priority = -1 // a negative priority is not sent
	}
	dispatch.Source = f.promptSource(start, x, e)
	header := make(http.Header, len(x.header)+4)
	for name, values := range x.header {
		header[name] = values
	}
	f.headers.Forward(header, dispatch)
	response, err := e.pool.Do(ctx, upstream.Request{Method: x.method, Target: x.target, Host: x.host, Header: header, Body: x.body, HasBody: x.hasBody})
	if err != nil {
		return false, f.handleSendError(ctx, x, e, start, err)
	}
	defer response.Close()
	return f.handleResponse(ctx, w, x, e, response, start, remove)
}

// handleSendError decides after a send without a response whether another endpoint may be tried.
func (f *Frontend) handleSendError(ctx context.Context, x *request, e *endpoint, start time.Time, err error) (retry bool) {
	unsent := upstream.Unsent(err)
	f.log.Info("no response from the endpoint", x.id(), slog.String("Endpoint", string(e.name)), slog.Bool("Sent", !unsent), slog.Int("Send", x.sends), partsAttr(x),
		slog.Int64("DurationMilli", f.clock.Since(start).Milliseconds()), slog.Any("Error", err))
	if ctx.Err() != nil {
		if !unsent {
			x.runs++
		}
		return false
	}
	f.recordResult(e, true, unsent && !eris.Is(err, upstream.ErrPoolFull))
	if unsent {
		if errors.Is(err, syscall.ECONNREFUSED) {
			f.mu.Lock()
			f.recordEnd(e, f.clock.Now(), connectionRefused)
			f.mu.Unlock()
		}
		// No byte of the request was sent, so sending it to another endpoint takes nothing from the retry budget.
		x.excluded = append(x.excluded, e.name)
		return x.sends < maxSends && x.deadline.Sub(f.clock.Now()) > minRemaining
	}
	f.recordInterruption(ctx, x, e, false /* orderly */)
	return f.prepareRetry(x, e, true)
}

// handleResponse checks the status and headers of a response and forwards the response, or decides whether another endpoint may be
// tried. It calls remove, which is removeRequest for this request, when a stream starts.
func (f *Frontend) handleResponse(ctx context.Context, w http.ResponseWriter, x *request, e *endpoint, response *upstream.Response, start time.Time, remove func(started bool)) (done, retry bool) {
	info := f.headers.DecodeResponse(response.Status, response.Header)
	f.recordAnnouncement(e, info)
	f.recordLimit(x, e, info, start)
	// On a connection that has carried other requests, a response that names none may belong to any of them.
	own := info.ID == x.call.ID && info.ID != "" || info.ID == "" && response.First
	refused := info.NotRun && own
	invalid := !own || info.Encoded || (response.Status < 300 && !info.Sealed) || response.Status < 200 || (response.Status >= 300 && response.Status < 400)
	// These statuses mean to callers that the request has not run. They are not forwarded unless the endpoint guarantees the same in
	// its headers.
	notRunStatus := meansNotRun(response.Status)
	f.log.Info("endpoint responded", x.id(), slog.String("Endpoint", string(e.name)), slog.Int("Status", response.Status),
		slog.Bool("NotRun", info.NotRun), slog.Bool("Named", info.ID != ""), slog.Bool("Sealed", info.Sealed), slog.Bool("Broken", invalid), slog.Int("Send", x.sends), slog.String("Adapter", x.adapter.String()),
		slog.String("Framing", string(response.Framing)), slog.String("ContentType", strings.Join(response.Header["Content-Type"], ", ")),
		slog.Int64("DurationMilli", f.clock.Since(start).Milliseconds()))
	switch {
	case refused:
		f.recordResult(e, !info.Misdirected, false /* unreachable */)
		if info.Misdirected {
			f.handleMisdirected(x, e)
		}
		if f.prepareRetry(x, e, false) {
			return false, true
		}
		f.refuseUnplaced(ctx, w, x, &outcome.Refusal{Reason: outcome.QueueFull, RetryAfter: unavailableRetryAfter, Detail: "the endpoint refused the request"})
		return true, false
	case invalid || notRunStatus:
		f.metrics.unverifiedResponses.Inc()
		f.recordResult(e, true /* failed */, false /* unreachable */)
		return false, f.prepareRetry(x, e, true)
	case response.Status >= 500 && x.repeatable():
		f.recordResult(e, true /* failed */, false /* unreachable */)
		if f.prepareRetry(x, e, true) {
			return false, true
		}
	case response.Status >= 500:
		f.recordResult(e, true /* failed */, false /* unreachable */)
	default:
		f.recordResult(e, false /* failed */, false /* unreachable */)
	}
	f.metrics.firstByte.Update(f.clock.Since(x.arrived).Seconds())
	if mediatype.EventStream.Of(response.Header["Content-Type"]...) {
		remove(true)
		return f.forwardStream(ctx, w, x, e, response), false
	}
	return f.forwardResponse(ctx, w, x, e, response)
}
