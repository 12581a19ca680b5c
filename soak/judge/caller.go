package judge

import (
	"bytes"
	"strings"
	"time"

	"shallotring.dev/soak/backend"
	"shallotring.dev/state/outcome"
)

const doneEvent = "data: [DONE]"

// RequestFinished checks the final response of a request: its body (guarantee G3), its outcome (guarantee G4) and its time.
func (j *Judge) RequestFinished(r *Request) {
	r.FinishedAt = j.now()
	r.Finished = true
	subjects := []string{string(r.ID)}
	j.log.Add([3]string{subjects[0], string(r.Key), string(r.Entry)}, "finished %s, %d bytes, replay %t", r.Outcome, len(r.Received), r.Replay)
	j.countOutcome(r)
	if r.FinishedAt.After(finishLimit(r)) {
		j.addViolation(Final, append(subjects, string(r.Entry)), "the final response arrived %s after the deadline", r.FinishedAt.Sub(r.Deadline))
	}
	j.checkRefusalDelay(r, subjects)
	switch r.Outcome {
	case outcome.Completed:
		j.checkCompleted(r, subjects)
		return
	case outcome.NotRun:
		j.checkNotRun(r, subjects)
	}
	j.checkIncomplete(r, subjects)
}

// checkRefusalDelay checks that a request that was never dispatched is refused without delay.
func (j *Judge) checkRefusalDelay(r *Request, subjects []string) {
	limit := RefusalTimeout
	if r.Key != "" {
		limit = KeyedRefusalTimeout
	}
	from := r.SentAt
	if r.PauseEnd.After(from) {
		from = r.PauseEnd
	}
	if delay := r.FinishedAt.Sub(from); r.Outcome == outcome.NotRun && r.Dispatched == 0 && delay > limit {
		j.addViolation(Final, append(subjects, string(r.Entry)), "refused only after %s although no try was dispatched", delay)
	}
}

func (j *Judge) countOutcome(r *Request) {
	switch r.Outcome {
	case outcome.Completed:
		j.Counts.Completed++
	case outcome.NotRun:
		j.Counts.NotRun++
	default:
		j.Counts.Unknown++
	}
	if r.Replay {
		j.Counts.Replayed++
	}
}

// CallerDisconnected records that the connection between caller and entry failed or that the caller disconnected. What the caller
// has received must be a prefix of its own response.
func (j *Judge) CallerDisconnected(r *Request) {
	if r.Finished || r.Disconnected {
		return
	}
	r.Disconnected = true
	j.Counts.Broken++
	j.log.Add([3]string{string(r.ID), string(r.Key), string(r.Entry)}, "the caller's connection closed")
	j.checkIncomplete(r, []string{string(r.ID)})
}

func (j *Judge) checkNotRun(r *Request, subjects []string) {
	if len(r.runs) > 0 {
		x := r.runs[0]
		j.addOrderViolation(G4, x.Endpoint, x.Order, append(subjects, string(x.Endpoint.Name)), "reported as not-run, but it ran at %s", x.Endpoint.Name)
	}
	if len(r.Received) > 0 {
		j.addViolation(G4, subjects, "reported as not-run after %d bytes of a response", len(r.Received))
	}
	if r.Refused && r.RetryAfter <= 0 {
		j.log.Add([3]string{subjects[0]}, "refused without a Retry-After time")
	}
}

// checkCompleted checks that the response is the complete output of one run of this request or, for a replay, of its key.
func (j *Judge) checkCompleted(r *Request, subjects []string) {
	list := r.runs
	if r.Replay && r.Key != "" {
		list = j.runsByKey[callerKey{r.Caller, r.Key}]
	}
	for _, x := range list {
		if x.Done && (x.Text == string(r.Received) || r.Withheld && len(r.Received) == 0) {
			if x.Body != r.Body {
				j.addViolation(G3, subjects, "received the response of a request with another body")
			}
			return
		}
	}
	j.addViolation(G3, subjects, "completed with %d bytes that are not the complete output of any of its %d runs", len(r.Received), len(list))
}

// checkIncomplete checks that a truncated response is a prefix of the output of one run and does not look complete.
func (j *Judge) checkIncomplete(r *Request, subjects []string) {
	if bytes.Contains(r.Received, []byte(doneEvent)) {
		j.addViolation(G3, subjects, "an incomplete stream contains the [DONE] event")
	}
	if len(r.Received) == 0 {
		return
	}
	for _, x := range r.runs {
		if strings.HasPrefix(x.Text, string(r.Received)) {
			return
		}
	}
	j.addViolation(G3, subjects, "received %d bytes that are not a prefix of the output of any of its %d runs", len(r.Received), len(r.runs))
}

// finishLimit returns the time by which a request must have its final response.
func finishLimit(r *Request) time.Time {
	if r.PauseEnd.After(r.Deadline) {
		return r.PauseEnd.Add(FinishTimeout)
	}
	return r.Deadline.Add(FinishTimeout)
}

// EntryAlive reports whether the entry that serves a request still runs. It also sets the request's PauseEnd to the end of the latest
// pause of that entry.
type EntryAlive func(r *Request) (ok bool)

// CheckOverdue checks that no request at a running entry is without a final response after its time limit.
func (j *Judge) CheckOverdue(alive EntryAlive) {
	var unfinished []*Request
	for _, r := range j.unfinished {
		if r.Finished || r.Disconnected {
			continue
		}
		unfinished = append(unfinished, r)
		if alive(r) && j.now().After(finishLimit(r)) {
			j.addViolation(Final, []string{string(r.ID), string(r.Key), string(r.Entry)}, "no final response %s after the deadline", j.now().Sub(r.Deadline))
		}
	}
	j.unfinished = unfinished
}

// Unfinished returns the ids of the matching requests without a final response.
func (j *Judge) Unfinished(match func(*Request) bool) (list []string) {
	for _, r := range j.unfinished {
		if !r.Finished && !r.Disconnected && match(r) {
			list = append(list, string(r.ID))
		}
	}
	return list
}

var _ backend.Observer = (*Judge)(nil)
