package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"shallotring.dev/protocol/eventstream"
	"shallotring.dev/protocol/mediatype"
	"shallotring.dev/protocol/openai"
	"shallotring.dev/protocol/wire"
	"shallotring.dev/state/attempt"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/outcome"
	"shallotring.dev/transport/timeline"
)

// response writes to the caller. Each write has its own timeout, so that a caller that does not read blocks the request
// for a limited time.
type response struct {
	w             http.ResponseWriter
	controller    *http.ResponseController
	timeout       time.Duration
	started       bool
	isEventStream bool
	// events follows an event stream, to which an error event can be added only between two events.
	events eventstream.Scanner
	status int
}

// extendDeadline sets the deadline of the next write.
func (o *response) extendDeadline() { _ = o.controller.SetWriteDeadline(time.Now().Add(o.timeout)) }

// deliver sends verified response data to the caller.
func (x *exchange) deliver(c attempt.Command) (e attempt.Event) {
	if x.callerDisconnected {
		return e
	}
	x.response.extendDeadline()
	if !x.response.started {
		x.startResponse(c)
	}
	if x.response.isEventStream {
		x.response.events.Scan(c.Data)
	}
	_, err := x.response.w.Write(c.Data)
	if err == nil && !c.Last {
		err = x.response.controller.Flush()
	}
	if err != nil {
		x.callerDisconnected = true
		return attempt.Event{Kind: attempt.CallerDisconnected}
	}
	return e
}

// startResponse sends the status and the header. The outcome is in the header if the response is complete, otherwise in
// the trailer.
func (x *exchange) startResponse(c attempt.Command) {
	status, contentType := x.attempt.Head()
	h := x.response.w.Header()
	if c.Last {
		h.Set("Content-Length", strconv.Itoa(len(c.Data)))
		h.Set(HeaderOutcome, string(outcome.Completed))
	} else {
		h.Set("Trailer", HeaderOutcome)
	}
	x.writeHead(status, contentType)
}

// writeHead sends the status and the header.
func (x *exchange) writeHead(status int, contentType string) {
	h := x.response.w.Header()
	if contentType != "" {
		h.Set("Content-Type", contentType)
	}
	if !x.adapter.IsZero() {
		h.Set(HeaderAdapter, x.adapter.String())
	}
	if status < http.StatusOK || status > maxStatus {
		status = http.StatusBadGateway
	}
	x.response.started, x.response.status = true, status
	x.response.isEventStream = mediatype.EventStream.Of(contentType)
	x.response.w.WriteHeader(status)
}

// maxStatus is the largest status that net/http sends.
const maxStatus = 999

// finish completes the response and records the finished request.
func (x *exchange) finish() {
	r := x.result
	if r.Outcome == outcome.NotRun && r.Proof == "" {
		x.entry.meters.violations.Inc()
		x.logEvent(timeline.Event{Kind: timeline.InvariantViolated, Detail: "outcome not-run without proof; reported as unknown"})
		r.Outcome = outcome.Unknown
	}
	abort := x.finishResponse()
	x.addRecord()
	if abort {
		// Only a closed connection shows the caller that a plain body or an event is incomplete.
		panic(http.ErrAbortHandler)
	}
}

// reject responds to a request whose input is invalid or could not be read; no try was dispatched.
func (x *exchange) reject(err *openai.Error) {
	x.result = &attempt.Result{
		Outcome: outcome.NotRun, Failure: attempt.Rejected, Proof: attempt.NothingDispatched,
		Refusal: &outcome.Refusal{Reason: outcome.Reason(err.Code)},
	}
	x.response.extendDeadline()
	x.response.status = err.Status
	x.response.w.Header().Set(HeaderOutcome, string(outcome.NotRun))
	writeRejection(x.response.w, err)
	x.addRecord()
}

// finishResponse writes the rest of the response; abort reports that the connection must be closed instead.
func (x *exchange) finishResponse() (abort bool) {
	r := x.result
	x.response.extendDeadline()
	switch {
	case x.callerDisconnected || r.Failure == attempt.Abandoned:
		return x.response.started
	case r.Replay != nil:
		x.replay(r.Replay)
	case r.Outcome == outcome.Completed:
		if !x.response.started {
			x.startResponse(attempt.Command{Last: true})
		}
		x.response.w.Header().Set(HeaderOutcome, string(r.Outcome))
	case !x.response.started:
		x.respondFailure()
	case x.response.isEventStream && !x.response.events.InsideEvent():
		x.writeErrorEvent()
	default:
		return true
	}
	return false
}

// writeErrorEvent ends a started event stream with an error and without the [DONE] event.
func (x *exchange) writeErrorEvent() {
	text, _ := json.Marshal(openai.ErrorResponse{Error: x.apiError()}) // strings always marshal
	x.response.w.Write([]byte("data: "))
	x.response.w.Write(text)
	x.response.w.Write([]byte("\n\n"))
	x.response.w.Header().Set(HeaderOutcome, string(x.result.Outcome))
}

// replay sends the recorded response of the request that first used the key.
func (x *exchange) replay(recorded *wire.Answer) {
	h := x.response.w.Header()
	if recorded.GetRequestID() != "" {
		h.Set(HeaderRequest, recorded.GetRequestID())
	}
	if recorded.GetAdapter() != "" {
		x.adapter = ident.AdapterVersion{Adapter: ident.Adapter(recorded.GetAdapter()), Version: ident.Version(recorded.GetVersion())}
	}
	h.Set(HeaderOutcome, string(outcome.Completed))
	if recorded.GetTruncated() || recorded.GetStatus() < http.StatusOK {
		x.sendError(openai.NewError(http.StatusConflict, "already_completed",
			"the request with this key has completed; its response was too large to keep"), 0)
		return
	}
	x.writeHead(int(recorded.GetStatus()), recorded.GetContentType())
	x.response.w.Write(recorded.GetBody())
}

// respondFailure sends the error of a request that did not complete, if no response has started.
func (x *exchange) respondFailure() {
	x.response.w.Header().Set(HeaderOutcome, string(x.result.Outcome))
	var retryAfter time.Duration
	if (x.result.Outcome == outcome.NotRun || x.result.Failure == attempt.KeyInProgress) && x.result.Refusal != nil {
		retryAfter = max(x.result.Refusal.RetryAfter, minRetryAfter)
	}
	if !x.adapter.IsZero() {
		x.response.w.Header().Set(HeaderAdapter, x.adapter.String())
	}
	x.sendError(x.apiError(), retryAfter)
}

func (x *exchange) sendError(err *openai.Error, retryAfter time.Duration) {
	x.response.status = err.Status
	writeError(x.response.w, err, retryAfter)
}

// apiError returns the error that states why the request did not complete.
func (x *exchange) apiError() *openai.Error {
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
		return keyExpiredError()
	case r.Failure == attempt.Expired:
		return openai.NewError(http.StatusRequestTimeout, "deadline_expired", "the deadline passed before the request was run")
	case r.Refusal != nil && r.Refusal.Reason == outcome.CallerLimit:
		return openai.NewError(http.StatusTooManyRequests, string(r.Refusal.Reason), "not run: over the caller's fair share")
	case r.Refusal != nil:
		return openai.NewError(http.StatusServiceUnavailable, string(r.Refusal.Reason), r.Refusal.Error())
	}
	return openai.NewError(http.StatusServiceUnavailable, "not_run", "the request was not run")
}

// addRecord stores, counts and logs the finished request.
func (x *exchange) addRecord() {
	r := x.result
	rec := &Record{
		Request:          x.id,
		Caller:           x.caller.Name,
		Adapter:          x.adapter.Adapter,
		Version:          x.adapter.Version,
		Service:          x.service,
		Status:           x.response.status,
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
		rec.Reason = r.Refusal.Reason
	}
	if rec.Reason == "" {
		rec.Reason = outcome.Reason(r.Failure)
	}
	if id := ident.RequestID(r.Replay.GetRequestID()); id != x.id {
		rec.ReplayOf = id
	}
	x.entry.records.add(rec)
	x.entry.meters.countFinishedRequest(rec)
	x.logEvent(timeline.Event{
		Kind:             timeline.RequestFinished,
		Try:              ident.Try(len(x.tries)),
		Endpoint:         x.target.endpoint,
		Outcome:          r.Outcome,
		Reason:           rec.Reason,
		Status:           rec.Status,
		PromptTokens:     rec.PromptTokens,
		CompletionTokens: rec.CompletionTokens,
		Stall:            time.Duration(rec.StallMilli) * time.Millisecond,
		Duration:         rec.Finished.Sub(x.received),
		ReplayOf:         rec.ReplayOf,
		Detail:           r.Detail,
	})
}
