package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"shallotring.dev/protocol/openai"
	"shallotring.dev/protocol/wire"
	"shallotring.dev/state/attempt"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/outcome"
	"shallotring.dev/transport/timeline"
)

// response writes to the caller; each write has its own timeout, so that a caller that does not read holds nothing for long.
type response struct {
	w       http.ResponseWriter
	control *http.ResponseController
	timeout time.Duration
	started bool
	events  bool
	status  int
}

func (o *response) extend() { _ = o.control.SetWriteDeadline(time.Now().Add(o.timeout)) }

// deliver sends verified data of the response.
func (x *exchange) deliver(c attempt.Command) (e attempt.Event) {
	if x.gone {
		return e
	}
	x.out.extend()
	if !x.out.started {
		x.start(c)
	}
	_, err := x.out.w.Write(c.Data)
	if err == nil && !c.Last {
		err = x.out.control.Flush()
	}
	if err != nil {
		x.gone = true
		return attempt.Event{Kind: attempt.CallerDisconnected}
	}
	return e
}

// start sends the head. A response that is complete carries its outcome in the header, any other in the trailer.
func (x *exchange) start(c attempt.Command) {
	status, contentType := x.attempt.Head()
	h := x.out.w.Header()
	if c.Last {
		h.Set("Content-Length", strconv.Itoa(len(c.Data)))
		h.Set(HeaderOutcome, string(outcome.Completed))
	} else {
		h.Set("Trailer", HeaderOutcome)
	}
	x.head(status, contentType)
}

func (x *exchange) head(status int, contentType string) {
	h := x.out.w.Header()
	if contentType != "" {
		h.Set("Content-Type", contentType)
	}
	if !x.adapter.IsZero() {
		h.Set(HeaderAdapter, x.adapter.String())
	}
	if status < http.StatusOK || status > maxStatus {
		status = http.StatusBadGateway
	}
	x.out.started, x.out.status = true, status
	x.out.events = len(contentType) >= len(eventStream) && contentType[:len(eventStream)] == eventStream
	x.out.w.WriteHeader(status)
}

const (
	eventStream = "text/event-stream"
	// maxStatus is the largest status that net/http sends.
	maxStatus = 999
)

// finish ends the response, the record and the timeline of the request.
func (x *exchange) finish() {
	r := x.result
	if r.Outcome == outcome.NotRun && r.Proof == "" {
		x.entry.meters.violations.Inc()
		x.event(timeline.Event{Kind: timeline.InvariantViolated, Detail: "not-run without a ground"})
		r.Outcome = outcome.Unknown
	}
	abort := x.conclusion()
	x.record()
	if abort {
		// Anything but a broken connection would end a plain body as if it were complete.
		panic(http.ErrAbortHandler)
	}
}

// reject answers a request whose input was refused; nothing was dispatched.
func (x *exchange) reject(err *openai.Error) {
	x.result = &attempt.Result{
		Outcome: outcome.NotRun, Failure: attempt.Rejected, Proof: attempt.NothingDispatched,
		Refusal: &outcome.Refusal{Reason: outcome.Reason(err.Code)},
	}
	x.out.extend()
	x.out.status = err.Status
	x.out.w.Header().Set(HeaderOutcome, string(outcome.NotRun))
	writeRejection(x.out.w, err)
	x.record()
}

// conclusion writes what remains of the response; abort asks for the connection to be broken.
func (x *exchange) conclusion() (abort bool) {
	r := x.result
	x.out.extend()
	switch {
	case x.gone || r.Failure == attempt.Abandoned:
		return x.out.started
	case r.Replay != nil:
		x.replay(r.Replay)
	case r.Outcome == outcome.Completed:
		if !x.out.started {
			x.start(attempt.Command{Last: true})
		}
		x.out.w.Header().Set(HeaderOutcome, string(r.Outcome))
	case !x.out.started:
		x.refuse()
	case x.out.events:
		x.errorEvent()
	default:
		return true
	}
	return false
}

// errorEvent ends a started stream of events; the closing event of a complete stream is not sent.
func (x *exchange) errorEvent() {
	text, _ := json.Marshal(openai.ErrorResponse{Error: x.failure()}) // strings always marshal
	x.out.w.Write([]byte("data: "))
	x.out.w.Write(text)
	x.out.w.Write([]byte("\n\n"))
	x.out.w.Header().Set(HeaderOutcome, string(x.result.Outcome))
}

// replay returns the recorded answer of the request that first used the key.
func (x *exchange) replay(w *wire.Answer) {
	h := x.out.w.Header()
	if w.GetRequestID() != "" {
		h.Set(HeaderRequest, w.GetRequestID())
	}
	if w.GetAdapter() != "" {
		x.adapter = ident.AdapterVersion{Adapter: ident.Adapter(w.GetAdapter()), Version: ident.Version(w.GetVersion())}
	}
	h.Set(HeaderOutcome, string(outcome.Completed))
	if w.GetTruncated() || w.GetStatus() < http.StatusOK {
		x.fail(openai.NewError(http.StatusConflict, "already_completed",
			"the request with this key has completed; its response was too large to keep"), 0)
		return
	}
	x.head(int(w.GetStatus()), w.GetContentType())
	x.out.w.Write(w.GetBody())
}

func (x *exchange) refuse() {
	x.out.w.Header().Set(HeaderOutcome, string(x.result.Outcome))
	var after time.Duration
	if (x.result.Outcome == outcome.NotRun || x.result.Failure == attempt.KeyInProgress) && x.result.Refusal != nil {
		after = max(x.result.Refusal.RetryAfter, minRetryAfter)
	}
	if !x.adapter.IsZero() {
		x.out.w.Header().Set(HeaderAdapter, x.adapter.String())
	}
	x.fail(x.failure(), after)
}

func (x *exchange) fail(err *openai.Error, after time.Duration) {
	x.out.status = err.Status
	writeError(x.out.w, err, after)
}

// failure says why the request did not complete.
func (x *exchange) failure() *openai.Error {
	r := x.result
	switch {
	case r.Failure == attempt.KeyUnknown:
		return openai.NewError(http.StatusConflict, "outcome_unknown", "the request with this key may have run and is not repeated")
	case r.Failure == attempt.KeyInProgress:
		return openai.NewError(http.StatusConflict, "key_in_progress", "a request with this key is in progress")
	case r.Outcome == outcome.Unknown:
		return openai.NewError(http.StatusBadGateway, "outcome_unknown", "the request may have run: "+string(r.Failure))
	case r.Failure == attempt.KeyMismatch:
		return openai.NewError(http.StatusUnprocessableEntity, "key_reused", "the key was used with another body")
	case r.Failure == attempt.KeyExpired:
		return keyExpired()
	case r.Failure == attempt.Expired:
		return openai.NewError(http.StatusRequestTimeout, "deadline_expired", "the deadline passed before the request was run")
	case r.Refusal != nil && r.Refusal.Reason == outcome.CallerLimit:
		return openai.NewError(http.StatusTooManyRequests, string(r.Refusal.Reason), "not run: over the caller's fair share")
	case r.Refusal != nil:
		return openai.NewError(http.StatusServiceUnavailable, string(r.Refusal.Reason), r.Refusal.Error())
	}
	return openai.NewError(http.StatusServiceUnavailable, "not_run", "the request was not run")
}

func (x *exchange) record() {
	r := x.result
	y := &Record{
		Request:          x.id,
		Caller:           x.caller.Name,
		Adapter:          x.adapter.Adapter,
		Version:          x.adapter.Version,
		Service:          x.service,
		Status:           x.out.status,
		Outcome:          r.Outcome,
		Failure:          r.Failure,
		Tries:            x.tries,
		PromptTokens:     ident.Tokens(r.End.GetPromptTokens()),
		CompletionTokens: ident.Tokens(r.End.GetCompletionTokens()),
		StallMilli:       r.End.GetStallMilli(),
		Received:         x.received,
		Finished:         x.entry.clock.Now(),
	}
	if r.Refusal != nil {
		y.Reason = r.Refusal.Reason
	}
	if y.Reason == "" {
		y.Reason = outcome.Reason(r.Failure)
	}
	if id := ident.RequestID(r.Replay.GetRequestID()); id != x.id {
		y.ReplayOf = id
	}
	x.entry.records.add(y)
	x.entry.meters.finished(y)
	x.event(timeline.Event{
		Kind:             timeline.RequestFinished,
		Try:              ident.Try(len(x.tries)),
		Endpoint:         x.target.endpoint,
		Outcome:          r.Outcome,
		Reason:           y.Reason,
		Status:           y.Status,
		PromptTokens:     y.PromptTokens,
		CompletionTokens: y.CompletionTokens,
		Stall:            time.Duration(y.StallMilli) * time.Millisecond,
		Duration:         y.Finished.Sub(x.received),
		ReplayOf:         y.ReplayOf,
		Detail:           r.Detail,
	})
}
