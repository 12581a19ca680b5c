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

// Guarantee is the name of a check, as it is printed with a violation.
type Guarantee string

// The guarantees G1 to G8 of section 1.1 of the design, and the checks beside them.
const (
	// G1: a request runs on the adapter version that its caller named, with the declared weights.
	G1 Guarantee = "G1"
	// G2: no adapter is evicted while a request runs on it.
	G2 Guarantee = "G2"
	// G3: a completed response is the complete output of a run of the request; a truncated one is never presented as complete.
	G3 Guarantee = "G3"
	// G4: a request that is reported as not-run has not run and never will.
	G4 Guarantee = "G4"
	// G5: each try, and each idempotency key of a caller, runs at most once.
	G5 Guarantee = "G5"
	// G6: nothing starts at an endpoint later than LeaveTimeout after its agent was notified that the endpoint is leaving.
	G6 Guarantee = "G6"
	// G7: a planned stop of a process interrupts no request in progress.
	G7 Guarantee = "G7"
	// G8: a process never returns to an older configuration, and an accepted change is in force at all live processes.
	G8 Guarantee = "G8"
	// Capacity: no engine is ordered to load more than it holds.
	Capacity Guarantee = "capacity"
	// Final: every request gets a final outcome in time.
	Final Guarantee = "final"
	// Assertion: a module has detected and reported a violated invariant itself.
	Assertion Guarantee = "assertion"
)

// LeaveTimeout is the time after an agent was notified that its endpoint is leaving within which requests may still start there.
// It consists of the gate's drain grace period of 2 s and up to 3 s for orders in flight.
const LeaveTimeout = 5 * time.Second

// FinishTimeout is the time after the deadline by which a request must have its final outcome. It allows for one settle call
// of 2 s, one ledger call of 2 s and the delays of messages.
const FinishTimeout = 6 * time.Second

// RefusalTimeout is the time within which a request that was never sent to an agent is refused. With KeyedRefusalTimeout, a
// request with an idempotency key may first wait for two calls of the ledger.
const (
	RefusalTimeout      = 100 * time.Millisecond
	KeyedRefusalTimeout = 8 * time.Second
)

// exposureWindow is the time after an event that is counted as exposed (see addOrderViolation) within which the successor of the
// order's sender may detect the consequences and report them as violations.
const exposureWindow = 10 * time.Second

// Violation is one violation of a guarantee.
type Violation struct {
	Guarantee Guarantee
	Subjects  []string
	Detail    string
}

// Request is one request, with what its caller has received.
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
	// PauseEnd is the end of the latest pause of the entry; a paused entry cannot respond.
	PauseEnd time.Time
	SentAt   time.Time
	Deadline time.Time
	Received []byte
	// Dispatched is the number of tries that were sent to an agent.
	Dispatched int
	// Finished is set with the final response, Disconnected if the connection to the entry closed instead.
	Finished     bool
	Disconnected bool
	Outcome      outcome.Outcome
	// Replay is set if the response is a recorded one, Withheld if the body of the recorded response was not stored.
	Replay   bool
	Withheld bool
	// Refused is set for a refusal, with the time that the response gives in Retry-After.
	Refused    bool
	RetryAfter time.Duration
	FinishedAt time.Time
	runs       []*backend.Run
}

// Judge collects the observations of one schedule.
type Judge struct {
	log              *history.Log
	now              func() time.Time
	onViolation      func()
	requests         map[ident.RequestID]*Request
	unfinished       []*Request
	runsByKey        map[callerKey][]*backend.Run
	runsByTry        map[string]int
	adapterRevisions map[ident.Adapter]map[ident.Revision]*resource.Adapter
	leavingSince     map[ident.Process]time.Time
	inForce          map[ident.Process]map[int]ident.Revision
	violations       []Violation
	// Exposed counts the events that the design does not exclude at endpoints that ignore fencing numbers (section 5.2 of the
	// design); see addOrderViolation.
	Exposed     int
	lastExposed map[ident.Endpoint]time.Time
	claims      map[ident.Endpoint]ident.Incarnation
	Counts      Counts
}

// Counts are the figures of one schedule. Broken counts the requests whose connection between caller and entry closed before the
// final response, Accepted the accepted configuration changes.
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

// New returns a judge that calls onViolation at each violation.
func New(now func() time.Time, l *history.Log, onViolation func()) *Judge {
	return &Judge{
		log: l, now: now, onViolation: onViolation, requests: make(map[ident.RequestID]*Request), runsByKey: make(map[callerKey][]*backend.Run),
		runsByTry: make(map[string]int), adapterRevisions: make(map[ident.Adapter]map[ident.Revision]*resource.Adapter),
		leavingSince: make(map[ident.Process]time.Time), inForce: make(map[ident.Process]map[int]ident.Revision),
		lastExposed: make(map[ident.Endpoint]time.Time), claims: make(map[ident.Endpoint]ident.Incarnation),
	}
}

// Violations returns the violations in the order in which they were found.
func (j *Judge) Violations() []Violation { return j.violations }

func (j *Judge) addViolation(g Guarantee, subjects []string, format string, args ...any) {
	v := Violation{Guarantee: g, Subjects: subjects, Detail: fmt.Sprintf(format, args...)}
	j.violations = append(j.violations, v)
	j.log.Add([3]string{append(subjects, "")[0]}, "VIOLATION %s: %s", g, v.Detail)
	j.onViolation()
}

// AssertionFailed records a violation that a module has reported itself, unless it may be a consequence of an event that is counted as
// exposed.
func (j *Judge) AssertionFailed(subjects []string, endpoint ident.Endpoint, detail string) {
	if at, ok := j.lastExposed[endpoint]; ok && j.now().Sub(at) < exposureWindow {
		return
	}
	j.addViolation(Assertion, subjects, "%s", detail)
}

// Claimed records the claim of an endpoint that the key-value service stores.
func (j *Judge) Claimed(e ident.Endpoint, i ident.Incarnation) { j.claims[e] = i }

// addOrderViolation records a violation that an order has caused. It counts the event as exposed instead where the design
// states the remaining risk: the sender was paused between the check of its claim and the send, a successor has the claim,
// and the endpoint ignores fencing numbers.
func (j *Judge) addOrderViolation(g Guarantee, e *backend.Endpoint, o backend.Order, subjects []string, format string, args ...any) {
	if o.Paused && !e.ChecksFencing && j.claims[e.Name] > o.Incarnation {
		j.Exposed++
		j.lastExposed[e.Name] = j.now()
		j.log.Add([3]string{string(e.Name)}, "exposed %s: %s", g, fmt.Sprintf(format, args...))
		return
	}
	j.addViolation(g, subjects, format, args...)
}

// RequestSent records a new request.
func (j *Judge) RequestSent(r *Request) {
	j.Counts.Requests++
	r.SentAt = j.now()
	j.requests[r.ID] = r
	j.unfinished = append(j.unfinished, r)
}

// Ran checks one journal entry (guarantees G1, G4, G5 and G6).
func (j *Judge) Ran(r *backend.Run) {
	j.Counts.Runs++
	q := j.requests[r.ID.RequestID]
	subjects := []string{string(r.ID.RequestID), string(r.Endpoint.Name), r.Adapter.String()}
	j.log.Add([3]string{subjects[0], subjects[1], subjects[2]}, "ran try %d as #%d by %s, incarnation %d",
		r.ID.Try, r.Serial, r.Order.Sender, r.Order.Incarnation)
	if q == nil {
		j.addViolation(G1, subjects, "a request that no caller sent has run")
		return
	}
	q.runs = append(q.runs, r)
	j.checkRanOnce(q, r, subjects)
	j.checkAdapter(q, r, subjects)
	if q.Finished && q.Outcome == outcome.NotRun {
		j.addOrderViolation(G4, r.Endpoint, r.Order, subjects, "the request ran, but was reported as not-run at %s", q.FinishedAt.Format(time.TimeOnly))
	}
	if at, ok := j.leavingSince[r.Order.Sender]; ok && j.now().Sub(at) > LeaveTimeout {
		j.addOrderViolation(G6, r.Endpoint, r.Order, subjects, "ran %s after the endpoint's agent %s was notified that the endpoint is leaving",
			j.now().Sub(at), r.Order.Sender)
	}
}

func (j *Judge) checkRanOnce(q *Request, r *backend.Run, subjects []string) {
	try := fmt.Sprintf("%s/%d", r.ID.RequestID, r.ID.Try)
	if j.runsByTry[try]++; j.runsByTry[try] > 1 {
		j.addOrderViolation(G5, r.Endpoint, r.Order, subjects, "try %s ran %d times", try, j.runsByTry[try])
		return
	}
	if q.Key == "" {
		return
	}
	k := callerKey{q.Caller, q.Key}
	j.runsByKey[k] = append(j.runsByKey[k], r)
	if list := j.runsByKey[k]; len(list) > 1 {
		first := list[0].ID.RequestID
		j.addOrderViolation(G5, r.Endpoint, r.Order, append(subjects, string(first), string(q.Key)), "key %s ran %d times, first as %s", q.Key, len(list), first)
	}
}

func (j *Judge) checkAdapter(q *Request, r *backend.Run, subjects []string) {
	if r.Endpoint.PlainService {
		if q.Service == "" {
			j.addViolation(G1, subjects, "a model request ran at a plain service")
		}
		return
	}
	if r.RanAdapter != q.Adapter {
		j.addOrderViolation(G1, r.Endpoint, r.Order, subjects, "ran on %s, but the caller named %s", r.RanAdapter, q.Adapter)
		return
	}
	a := j.adapterRevisions[q.Adapter.Adapter][q.Revision]
	if a == nil {
		j.addViolation(G1, subjects, "ran with revision %d of the adapter, which was never written", q.Revision)
		return
	}
	if v, ok := a.Version(q.Adapter.Version); !ok || v.Digest != r.Digest {
		j.addOrderViolation(G1, r.Endpoint, r.Order, subjects, "ran with weights %.8s, but %.8s are declared (revision %d)", r.Digest, v.Digest, q.Revision)
	}
}

// Evicted checks one eviction (guarantee G2).
func (j *Judge) Evicted(e *backend.Endpoint, av ident.AdapterVersion, o backend.Order, users []*backend.Run) {
	j.Counts.Evictions++
	j.log.Add([3]string{string(e.Name), av.String()}, "evicted by %s, in use by %d runs", o.Sender, len(users))
	for _, r := range users {
		id := string(r.ID.RequestID)
		// The late order may be the eviction or the one that started the run.
		late := o
		if r.Order.Paused {
			late = r.Order
		}
		j.addOrderViolation(G2, e, late, []string{string(e.Name), av.String(), id}, "%s evicted while request %s runs on it", av, id)
	}
}

// Overloaded records an order to load more than an engine holds, which crashes it.
func (j *Judge) Overloaded(e *backend.Endpoint, av ident.AdapterVersion, o backend.Order, held []ident.AdapterVersion) {
	j.addOrderViolation(Capacity, e, o, []string{string(e.Name), av.String()}, "%s orders a load of %s at an engine that holds %v", o.Sender, av, held)
}

// AdapterDeclared records a write of an adapter resource.
func (j *Judge) AdapterDeclared(a *resource.Adapter, at ident.Revision) {
	if j.adapterRevisions[a.Name] == nil {
		j.adapterRevisions[a.Name] = make(map[ident.Revision]*resource.Adapter)
	}
	j.adapterRevisions[a.Name][at] = a
}

// AgentLeaving records that an agent was notified that its endpoint is leaving.
func (j *Judge) AgentLeaving(p ident.Process) {
	if _, ok := j.leavingSince[p]; !ok {
		j.leavingSince[p] = j.now()
		j.log.Add([3]string{string(p)}, "%s was notified that its endpoint is leaving", p)
	}
}

// PauseEnded records the end of a pause of an agent. LeaveTimeout starts again, as a paused agent cannot react.
func (j *Judge) PauseEnded(p ident.Process) {
	if _, ok := j.leavingSince[p]; ok {
		j.leavingSince[p] = j.now()
	}
}

// ProcessStopped checks a planned stop (guarantee G7); interrupted lists the requests in progress when the process stopped.
func (j *Judge) ProcessStopped(p ident.Process, interrupted []string) {
	j.log.Add([3]string{string(p)}, "%s stopped as planned", p)
	if len(interrupted) > 0 {
		j.addViolation(G7, append(interrupted, string(p)), "the planned stop of %s interrupted %d requests", p, len(interrupted))
	}
}

// InForce checks the revision of a shard that a process has put in force (guarantee G8).
func (j *Judge) InForce(p ident.Process, shard int, at ident.Revision) {
	if j.inForce[p] == nil {
		j.inForce[p] = make(map[int]ident.Revision)
	}
	if before := j.inForce[p][shard]; at < before {
		j.addViolation(G8, []string{string(p)}, "%s returned from revision %d of shard %d to %d", p, before, shard, at)
		return
	}
	j.inForce[p][shard] = at
}

// ChangeAccepted checks a change that is reported as accepted against the revisions of its shard that the live processes have in
// force (guarantee G8).
func (j *Judge) ChangeAccepted(shard int, at ident.Revision, live map[ident.Process]ident.Revision) {
	j.Counts.Accepted++
	for p, inForce := range live {
		if inForce < at {
			j.addViolation(G8, []string{string(p)}, "revision %d of shard %d is reported as accepted, but %s has %d in force", at, shard, p, inForce)
			return
		}
	}
}

// ProcessExited deletes the state of a process that has exited.
func (j *Judge) ProcessExited(p ident.Process) { delete(j.inForce, p) }
