package judge

import (
	"bytes"
	"strings"
	"time"

	"shallotring.dev/soak/backend"
	"shallotring.dev/state/outcome"
)

const closing = "data: [DONE]"

// Finished judges the final response of a request: G3, G4 and the time of the response.
func (j *Judge) Finished(r *Request) {
	r.At = j.now()
	r.Finished = true
	subjects := []string{string(r.ID)}
	j.log.Add([3]string{subjects[0], string(r.Key), string(r.Entry)}, "finished %s, %d bytes, replay %t", r.Outcome, len(r.Received), r.Replay)
	j.count(r)
	if r.At.After(limit(r)) {
		j.violate(Final, append(subjects, string(r.Entry)), "the final response came %s after the deadline", r.At.Sub(r.Deadline))
	}
	j.immediate(r, subjects)
	switch r.Outcome {
	case outcome.Completed:
		j.completed(r, subjects)
		return
	case outcome.NotRun:
		j.notRun(r, subjects)
	}
	j.incomplete(r, subjects)
}

// immediate checks that a refusal is not held back.
func (j *Judge) immediate(r *Request, subjects []string) {
	bound := RefusalBound
	if r.Key != "" {
		bound = KeyedRefusalBound
	}
	from := r.Asked
	if r.Paused.After(from) {
		from = r.Paused
	}
	if took := r.At.Sub(from); r.Outcome == outcome.NotRun && r.Dispatched == 0 && took > bound {
		j.violate(Final, append(subjects, string(r.Entry)), "refused after %s although nothing was dispatched", took)
	}
}

func (j *Judge) count(r *Request) {
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

// Cut records that the caller's connection broke or that the caller has left; what came so far must be its own.
func (j *Judge) Cut(r *Request) {
	if r.Finished || r.Broken {
		return
	}
	r.Broken = true
	j.Counts.Broken++
	j.log.Add([3]string{string(r.ID), string(r.Key), string(r.Entry)}, "the caller's connection has ended")
	j.incomplete(r, []string{string(r.ID)})
}

func (j *Judge) notRun(r *Request, subjects []string) {
	if len(r.runs) > 0 {
		x := r.runs[0]
		j.judgeOrder(G4, x.Endpoint, x.Order, append(subjects, string(x.Endpoint.Name)), "told not-run, but ran at %s", x.Endpoint.Name)
	}
	if len(r.Received) > 0 {
		j.violate(G4, subjects, "told not-run after %d bytes of a response", len(r.Received))
	}
	if r.Refused && r.RetryAfter <= 0 {
		j.log.Add([3]string{subjects[0]}, "refused without a retry-after time")
	}
}

// completed checks that the response is the whole answer of one run of this request, or of its key.
func (j *Judge) completed(r *Request, subjects []string) {
	list := r.runs
	if r.Replay && r.Key != "" {
		list = j.keys[callerKey{r.Caller, r.Key}]
	}
	for _, x := range list {
		if x.Done && (x.Text == string(r.Received) || r.Withheld && len(r.Received) == 0) {
			if x.Body != r.Body {
				j.violate(G3, subjects, "the response of a request with another body")
			}
			return
		}
	}
	j.violate(G3, subjects, "completed with %d bytes that are not the whole answer of any of its %d runs", len(r.Received), len(list))
}

// incomplete checks that what came is the beginning of one run and does not look complete.
func (j *Judge) incomplete(r *Request, subjects []string) {
	if bytes.Contains(r.Received, []byte(closing)) {
		j.violate(G3, subjects, "a stream that is not complete has the closing event")
	}
	if len(r.Received) == 0 {
		return
	}
	for _, x := range r.runs {
		if strings.HasPrefix(x.Text, string(r.Received)) {
			return
		}
	}
	j.violate(G3, subjects, "%d bytes that are not the beginning of any of its %d runs", len(r.Received), len(r.runs))
}

// limit is the time by which a request must have its final response.
func limit(r *Request) time.Time {
	if r.Paused.After(r.Deadline) {
		return r.Paused.Add(FinishBound)
	}
	return r.Deadline.Add(FinishBound)
}

// Alive reports whether the entry that serves a request is still there, and sets the end of its latest pause.
type Alive func(r *Request) (ok bool)

// Overdue judges the requests without a final response: none may hang.
func (j *Judge) Overdue(alive Alive) {
	var open []*Request
	for _, r := range j.order {
		if r.Finished || r.Broken {
			continue
		}
		open = append(open, r)
		if alive(r) && j.now().After(limit(r)) {
			j.violate(Final, []string{string(r.ID), string(r.Key), string(r.Entry)}, "no final response %s after the deadline", j.now().Sub(r.Deadline))
		}
	}
	j.order = open
}

// Open returns the requests without a final response at an entry.
func (j *Judge) Open(match func(*Request) bool) (list []string) {
	for _, r := range j.order {
		if !r.Finished && !r.Broken && match(r) {
			list = append(list, string(r.ID))
		}
	}
	return list
}

var _ backend.Observer = (*Judge)(nil)
