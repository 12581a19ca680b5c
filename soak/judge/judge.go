package judge

import (
	"fmt"
	"time"

	"shallotring.dev/soak/backend"
	"shallotring.dev/soak/history"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/outcome"
	"shallotring.dev/state/resource"
)

// Guarantee names what was violated.
type Guarantee string

// Guarantees of section 1.1 of the design, and that every request gets a final outcome in time.
const (
	G1    Guarantee = "G1"
	G2    Guarantee = "G2"
	G3    Guarantee = "G3"
	G4    Guarantee = "G4"
	G5    Guarantee = "G5"
	G6    Guarantee = "G6"
	G7    Guarantee = "G7"
	G8    Guarantee = "G8"
	Final Guarantee = "final"
	// Assertion means that a module has reported a violation by itself.
	Assertion Guarantee = "assertion"
)

// LeaveBound is the time after an agent has learned that it leaves from which nothing may start at its endpoint.
// It is the gate's drain grace of 2 s and up to 3 s for orders on their way.
const LeaveBound = 5 * time.Second

// FinishBound is the time after the deadline by which a request must have its final outcome: one settle call of 2 s,
// one ledger call of 2 s and the delays of messages.
const FinishBound = 6 * time.Second

// RefusalBound is the time in which a request that was never sent to an agent is refused; with a key it may first wait
// for two calls of the ledger.
const (
	RefusalBound      = 100 * time.Millisecond
	KeyedRefusalBound = 8 * time.Second
)

// exposureEcho is the time in which a successor can notice by itself what an order of its predecessor has done.
const exposureEcho = 10 * time.Second

// Violation is one broken guarantee.
type Violation struct {
	Guarantee Guarantee
	Subjects  []string
	Detail    string
}

// Request is one request as its caller sees it.
type Request struct {
	ID       ident.RequestID
	Caller   ident.Caller
	Key      ident.Key
	Body     string
	Adapter  ident.AdapterVersion
	Revision ident.Revision
	Service  ident.Service
	Stream   bool
	Entry    ident.Process
	// Paused is the end of the latest pause of the entry, which could not respond before it.
	Paused   time.Time
	Asked    time.Time
	Deadline time.Time
	Received []byte
	// Dispatched is the number of tries that were sent to an agent.
	Dispatched int
	// Finished is set with the final response; Broken if the connection to the entry broke instead.
	Finished bool
	Broken   bool
	Outcome  outcome.Outcome
	// Replay is set if the response is a recorded one; Withheld if its body was not kept.
	Replay   bool
	Withheld bool
	// RetryAfter is set for a refusal.
	Refused    bool
	RetryAfter time.Duration
	At         time.Time
	runs       []*backend.Run
}

// Judge collects the observations of one schedule.
type Judge struct {
	log       *history.Log
	now       func() time.Time
	stop      func()
	requests  map[ident.RequestID]*Request
	order     []*Request
	keys      map[callerKey][]*backend.Run
	tries     map[string]int
	declared  map[ident.Adapter]map[ident.Revision]*resource.Adapter
	leaving   map[ident.Process]time.Time
	inForce   map[ident.Process]map[int]ident.Revision
	violation []Violation
	// Exposed counts what remains possible at endpoints that ignore fencing numbers, see section 5.2 of the design.
	Exposed int
	exposed map[ident.Endpoint]time.Time
	claimed map[ident.Endpoint]ident.Incarnation
	Counts  Counts
}

// Counts are the figures of one schedule.
type Counts struct {
	Requests, Completed, NotRun, Unknown, Broken, Replayed int
	Runs, Evictions, Accepted                              int
}

// Add adds the counts of another schedule.
func (c *Counts) Add(x Counts) {
	c.Requests += x.Requests
	c.Completed += x.Completed
	c.NotRun += x.NotRun
	c.Unknown += x.Unknown
	c.Broken += x.Broken
	c.Replayed += x.Replayed
	c.Runs += x.Runs
	c.Evictions += x.Evictions
	c.Accepted += x.Accepted
}

type callerKey struct {
	caller ident.Caller
	key    ident.Key
}

// New returns a judge that calls stop at the first violation.
func New(now func() time.Time, l *history.Log, stop func()) *Judge {
	return &Judge{
		log: l, now: now, stop: stop, requests: make(map[ident.RequestID]*Request), keys: make(map[callerKey][]*backend.Run),
		tries: make(map[string]int), declared: make(map[ident.Adapter]map[ident.Revision]*resource.Adapter),
		leaving: make(map[ident.Process]time.Time), inForce: make(map[ident.Process]map[int]ident.Revision),
		exposed: make(map[ident.Endpoint]time.Time), claimed: make(map[ident.Endpoint]ident.Incarnation),
	}
}

// Violations returns what was found.
func (j *Judge) Violations() []Violation { return j.violation }

func (j *Judge) violate(g Guarantee, subjects []string, format string, args ...any) {
	v := Violation{Guarantee: g, Subjects: subjects, Detail: fmt.Sprintf(format, args...)}
	j.violation = append(j.violation, v)
	j.log.Add([3]string{append(subjects, "")[0]}, "VIOLATION %s: %s", g, v.Detail)
	j.stop()
}

// Asserted records a violation that a module has reported by itself.
func (j *Judge) Asserted(subjects []string, endpoint ident.Endpoint, detail string) {
	if at, ok := j.exposed[endpoint]; ok && j.now().Sub(at) < exposureEcho {
		return
	}
	j.violate(Assertion, subjects, "%s", detail)
}

// Claimed records the claim of an endpoint as the key-value service has it.
func (j *Judge) Claimed(e ident.Endpoint, i ident.Incarnation) { j.claimed[e] = i }

// judgeOrder reports a violation by an order, or counts it apart where the design states the remaining risk: the sender
// was paused between the check of its claim and the send, a successor has the claim, and the endpoint ignores fencing numbers.
func (j *Judge) judgeOrder(g Guarantee, e *backend.Endpoint, o backend.Order, subjects []string, format string, args ...any) {
	if o.Paused && !e.ChecksFencing && j.claimed[e.Name] > o.Incarnation {
		j.Exposed++
		j.exposed[e.Name] = j.now()
		j.log.Add([3]string{string(e.Name)}, "exposed %s: %s", g, fmt.Sprintf(format, args...))
		return
	}
	j.violate(g, subjects, format, args...)
}

// Asked records a new request.
func (j *Judge) Asked(r *Request) {
	j.Counts.Requests++
	r.Asked = j.now()
	j.requests[r.ID] = r
	j.order = append(j.order, r)
}

// Ran judges one journal entry: G1, G4, G5 and G6.
func (j *Judge) Ran(r *backend.Run) {
	j.Counts.Runs++
	q := j.requests[r.ID.RequestID]
	subjects := []string{string(r.ID.RequestID), string(r.Endpoint.Name), r.Adapter.String()}
	j.log.Add([3]string{subjects[0], subjects[1], subjects[2]}, "ran try %d as #%d by %s, incarnation %d",
		r.ID.Try, r.Serial, r.Order.Sender, r.Order.Incarnation)
	if q == nil {
		j.violate(G1, subjects, "a request that nobody sent has run")
		return
	}
	q.runs = append(q.runs, r)
	j.ranOnce(q, r, subjects)
	j.ranAsNamed(q, r, subjects)
	if q.Finished && q.Outcome == outcome.NotRun {
		j.judgeOrder(G4, r.Endpoint, r.Order, subjects, "the caller was told not-run at %s", q.At.Format(time.TimeOnly))
	}
	if at, ok := j.leaving[r.Order.Sender]; ok && j.now().Sub(at) > LeaveBound {
		j.judgeOrder(G6, r.Endpoint, r.Order, subjects, "ran %s after the endpoint's agent %s was told to leave",
			j.now().Sub(at), r.Order.Sender)
	}
}

func (j *Judge) ranOnce(q *Request, r *backend.Run, subjects []string) {
	try := fmt.Sprintf("%s/%d", r.ID.RequestID, r.ID.Try)
	if j.tries[try]++; j.tries[try] > 1 {
		j.judgeOrder(G5, r.Endpoint, r.Order, subjects, "try %s ran %d times", try, j.tries[try])
		return
	}
	if q.Key == "" {
		return
	}
	k := callerKey{q.Caller, q.Key}
	j.keys[k] = append(j.keys[k], r)
	if list := j.keys[k]; len(list) > 1 {
		first := list[0].ID.RequestID
		j.judgeOrder(G5, r.Endpoint, r.Order, append(subjects, string(first), string(q.Key)), "key %s ran %d times, first as %s", q.Key, len(list), first)
	}
}

func (j *Judge) ranAsNamed(q *Request, r *backend.Run, subjects []string) {
	if r.Endpoint.Service {
		if q.Service == "" {
			j.violate(G1, subjects, "a model request ran at a plain service")
		}
		return
	}
	if r.Ran != q.Adapter {
		j.judgeOrder(G1, r.Endpoint, r.Order, subjects, "ran on %s, the caller named %s", r.Ran, q.Adapter)
		return
	}
	a := j.declared[q.Adapter.Adapter][q.Revision]
	if a == nil {
		j.violate(G1, subjects, "ran with revision %d of the adapter, which was never written", q.Revision)
		return
	}
	if v, ok := a.Version(q.Adapter.Version); !ok || v.Digest != r.Digest {
		j.judgeOrder(G1, r.Endpoint, r.Order, subjects, "ran weights %.8s, declared are %.8s (revision %d)", r.Digest, v.Digest, q.Revision)
	}
}

// Evicted judges one eviction: G2.
func (j *Judge) Evicted(e *backend.Endpoint, av ident.AdapterVersion, o backend.Order, users []*backend.Run) {
	j.Counts.Evictions++
	j.log.Add([3]string{string(e.Name), av.String()}, "evicted by %s, in use by %d", o.Sender, len(users))
	for _, r := range users {
		id := string(r.ID.RequestID)
		// A late order may be the eviction or the request that it hits.
		late := o
		if r.Order.Paused {
			late = r.Order
		}
		j.judgeOrder(G2, e, late, []string{string(e.Name), av.String(), id}, "%s evicted while %s runs on it", av, id)
	}
}

// Declared records a write of an adapter resource.
func (j *Judge) Declared(a *resource.Adapter, at ident.Revision) {
	if j.declared[a.Name] == nil {
		j.declared[a.Name] = make(map[ident.Revision]*resource.Adapter)
	}
	j.declared[a.Name][at] = a
}

// Leaving records that an agent has learned that its endpoint leaves.
func (j *Judge) Leaving(p ident.Process) {
	if _, ok := j.leaving[p]; !ok {
		j.leaving[p] = j.now()
		j.log.Add([3]string{string(p)}, "%s was told to leave", p)
	}
}

// Woke records the end of a pause of an agent, in which it could not act on what it was told.
func (j *Judge) Woke(p ident.Process) {
	if _, ok := j.leaving[p]; ok {
		j.leaving[p] = j.now()
	}
}

// Stopped judges a planned stop: G7. Cut lists what was in progress when the process stopped.
func (j *Judge) Stopped(p ident.Process, cut []string) {
	j.log.Add([3]string{string(p)}, "%s stopped as planned", p)
	if len(cut) > 0 {
		j.violate(G7, append(cut, string(p)), "the planned stop of %s cut %d requests", p, len(cut))
	}
}

// InForce judges a shard that a process has put in force: G8.
func (j *Judge) InForce(p ident.Process, shard int, at ident.Revision) {
	if j.inForce[p] == nil {
		j.inForce[p] = make(map[int]ident.Revision)
	}
	if before := j.inForce[p][shard]; at < before {
		j.violate(G8, []string{string(p)}, "%s went from revision %d of shard %d back to %d", p, before, shard, at)
		return
	}
	j.inForce[p][shard] = at
}

// Accepted judges that a change reads as accepted while the live processes have the given revisions of its shard: G8.
func (j *Judge) Accepted(shard int, at ident.Revision, live map[ident.Process]ident.Revision) {
	j.Counts.Accepted++
	for p, has := range live {
		if has < at {
			j.violate(G8, []string{string(p)}, "revision %d of shard %d reads accepted, %s has %d in force", at, shard, p, has)
			return
		}
	}
}

// Gone drops what is kept about a process that has ended.
func (j *Judge) Gone(p ident.Process) { delete(j.inForce, p) }
