package backend

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"shallotring.dev/soak/schedule"
	"shallotring.dev/state/gate"
	"shallotring.dev/state/ident"
)

// Order is the sender's part of a command: its fencing number (the incarnation) and the times of the send.
type Order struct {
	Incarnation ident.Incarnation
	Sender      ident.Process
	// Checked is the time at which the sender checked its claim, Sent the time of the send.
	Checked time.Time
	Sent    time.Time
	// Paused is set if the sender was paused between the two.
	Paused bool
}

// Request is one request to run.
type Request struct {
	ID      ident.TryID
	Adapter ident.AdapterVersion
	Caller  ident.Caller
	Key     ident.Key
	Body    string
	Stream  bool
}

// Run is one run of a request.
type Run struct {
	Request
	Order    Order
	Endpoint *Endpoint
	Serial   int
	// RanAdapter and Digest identify the weights that computed the response.
	RanAdapter ident.AdapterVersion
	Digest     string
	Text       string
	Started    time.Time
	// Done is set when the run has completed, Finished also when it was aborted.
	Done     bool
	Finished bool
	// Connected is set while the sender still reads the response.
	Connected bool
	onChunk   func([]byte)
	onEnd     func(complete bool)
}

// Observer receives the runs and evictions of the endpoints.
type Observer interface {
	Ran(r *Run)
	Evicted(e *Endpoint, av ident.AdapterVersion, o Order, users []*Run)
	// Overloaded is called with an order to load an adapter for which the endpoint has no memory, and the adapters that it holds or loads.
	Overloaded(e *Endpoint, av ident.AdapterVersion, o Order, held []ident.AdapterVersion)
}

// Result is the result of a command or a request.
type Result int

// Results of commands and requests.
const (
	Accepted Result = iota
	// Fenced means that the endpoint refused a stale fencing number.
	Fenced
	// NotLoaded means that the adapter is not loaded; nothing ran.
	NotLoaded
	// Failed means that a load failed.
	Failed
)

// Endpoint is the state of one engine or plain service.
type Endpoint struct {
	Name          ident.Endpoint
	PlainService  bool
	ChecksFencing bool
	Slots         int
	StartID       ident.StartID
	Clock         *schedule.Clock
	Observer      Observer
	// FailedLoadsPerMille returns how many of 1000 loads fail. SlowWeightStore reports whether the weight store is slow, so that
	// loads take 1 to 6 s.
	FailedLoadsPerMille func() int
	SlowWeightStore     func() bool
	// WrongAdapter and EvictsInUse violate a guarantee on purpose, to test the judge.
	WrongAdapter bool
	EvictsInUse  bool

	highestFencingNumber ident.Incarnation
	loaded               map[ident.AdapterVersion]string
	// loading has the orders of the loads in progress.
	loading    map[ident.AdapterVersion]Order
	running    []*Run
	lastSerial int
	starts     int
}

// Start starts or restarts the endpoint's process with no adapter loaded. A restart ends all runs.
func (e *Endpoint) Start() {
	e.starts++
	e.highestFencingNumber = 0 // an engine has no disk on which to store it
	e.StartID = ident.StartID(fmt.Sprintf("%s-start-%d", e.Name, e.starts))
	e.loaded, e.loading = make(map[ident.AdapterVersion]string), make(map[ident.AdapterVersion]Order)
	list := e.running
	e.running = nil
	for _, r := range list {
		r.finish(false)
	}
}

// refusesFencingNumber reports whether the endpoint refuses an order because of a stale fencing number.
func (e *Endpoint) refusesFencingNumber(o Order) bool {
	if !e.ChecksFencing {
		return false
	}
	if o.Incarnation < e.highestFencingNumber {
		return true
	}
	e.highestFencingNumber = o.Incarnation
	return false
}

// Models lists the loaded adapters.
func (e *Endpoint) Models() (list []gate.ListedAdapter) {
	for av, digest := range e.loaded {
		list = append(list, gate.ListedAdapter{Adapter: av, Digest: digest})
	}
	slices.SortFunc(list, func(a, b gate.ListedAdapter) int { return strings.Compare(a.Adapter.String(), b.Adapter.String()) })
	return list
}

// Running lists the running requests.
func (e *Endpoint) Running() (list []gate.Request) {
	for _, r := range e.running {
		list = append(list, gate.Request{ID: r.requestName(), Adapter: r.Adapter})
	}
	return list
}

// OpenRuns returns the runs that have not finished.
func (e *Endpoint) OpenRuns() []*Run { return e.running }

// Load loads weights. It calls done with the digest under which the engine lists them afterwards.
func (e *Endpoint) Load(o Order, av ident.AdapterVersion, path string, done func(a Result, digest string)) {
	if e.refusesFencingNumber(o) {
		done(Fenced, "")
		return
	}
	duration := e.Clock.Between(200*time.Millisecond, 350*time.Millisecond)
	if e.SlowWeightStore() {
		duration = e.Clock.Between(time.Second, 6*time.Second)
	}
	e.checkMemory(o, av)
	e.loading[av] = o
	start := e.StartID
	e.Clock.After(duration, func() {
		if e.StartID != start {
			done(Failed, "")
			return
		}
		delete(e.loading, av)
		if _, loaded := e.loaded[av]; !loaded {
			if e.Clock.Chance(e.FailedLoadsPerMille()) || len(e.loaded) >= e.Slots {
				done(Failed, "")
				return
			}
			e.loaded[av] = Digest(path)
			if e.EvictsInUse {
				e.evictInUse(o)
			}
		}
		done(Accepted, e.loaded[av])
	})
}

// checkMemory reports an order to load more than the endpoint holds. The sender of an order cannot know of loads that others have begun.
func (e *Endpoint) checkMemory(o Order, av ident.AdapterVersion) {
	held := make(map[ident.AdapterVersion]bool)
	for x := range e.loaded {
		held[x] = true
	}
	for x, other := range e.loading {
		if other.Sender == o.Sender && other.Incarnation == o.Incarnation {
			held[x] = true
		}
	}
	if !held[av] && len(held) >= e.Slots {
		e.Observer.Overloaded(e, av, o, slices.SortedFunc(maps.Keys(held), func(a, b ident.AdapterVersion) int { return strings.Compare(a.String(), b.String()) }))
	}
}

// Digest returns the digest of the weights at a path of the weight store.
func Digest(path string) string {
	sum := sha256.Sum256([]byte(path))
	return hex.EncodeToString(sum[:])
}

// Unload evicts an adapter.
func (e *Endpoint) Unload(o Order, av ident.AdapterVersion) Result {
	if e.refusesFencingNumber(o) {
		return Fenced
	}
	e.evict(o, av)
	return Accepted
}

func (e *Endpoint) evict(o Order, av ident.AdapterVersion) {
	if _, ok := e.loaded[av]; !ok {
		return
	}
	var users []*Run
	for _, r := range e.running {
		if r.RanAdapter == av {
			users = append(users, r)
		}
	}
	delete(e.loaded, av)
	e.Observer.Evicted(e, av, o, users)
}

// evictInUse evicts an adapter in use, as an engine with an eviction policy of its own could.
func (e *Endpoint) evictInUse(o Order) {
	if len(e.running) > 0 {
		e.evict(o, e.running[0].RanAdapter)
	}
}

// Run starts a request. It calls onChunk with each chunk of the response and onEnd at its end.
func (e *Endpoint) Run(o Order, q Request, onChunk func([]byte), onEnd func(complete bool)) (r *Run, a Result) {
	if e.refusesFencingNumber(o) {
		return nil, Fenced
	}
	r = &Run{Request: q, Order: o, Endpoint: e, Started: e.Clock.Now(), Connected: true, onChunk: onChunk, onEnd: onEnd, RanAdapter: q.Adapter}
	if !e.PlainService {
		digest, ok := e.loaded[q.Adapter]
		if !ok {
			return nil, NotLoaded
		}
		r.Digest = digest
		if e.WrongAdapter {
			for _, m := range e.Models() {
				r.RanAdapter, r.Digest = m.Adapter, m.Digest
			}
		}
	}
	e.lastSerial++
	r.Serial = e.lastSerial
	e.running = append(e.running, r)
	chunks := r.chunks()
	e.Observer.Ran(r)
	e.generate(r, chunks)
	return r, Accepted
}

// chunks returns the chunks of the response. Each contains the identity of the run, so that no two runs have the same response.
func (r *Run) chunks() (list []string) {
	n := 1 + r.Endpoint.Clock.Random().IntN(6)
	for i := range n {
		text := fmt.Sprintf("%s %s %s#%d %s %d/%d", r.RanAdapter, r.Endpoint.Name, r.requestName(), r.Serial, r.Body, i+1, n)
		if r.Stream {
			text = "data: " + text + "\n\n"
		} else {
			text += "\n"
		}
		list = append(list, text)
	}
	if r.Stream {
		list = append(list, "data: [DONE]\n\n")
	}
	r.Text = strings.Join(list, "")
	return list
}

func (r *Run) requestName() string { return fmt.Sprintf("%s/%d", r.ID.RequestID, r.ID.Try) }

func (e *Endpoint) generate(r *Run, chunks []string) {
	e.Clock.After(e.Clock.Between(20*time.Millisecond, 250*time.Millisecond), func() {
		if r.Finished {
			return
		}
		r.onChunk([]byte(chunks[0]))
		if r.Finished {
			return
		}
		if len(chunks) > 1 {
			e.generate(r, chunks[1:])
			return
		}
		r.Done = true
		e.removeRun(r)
		r.finish(true)
	})
}

func (r *Run) finish(complete bool) {
	if !r.Finished {
		r.Finished = true
		r.onEnd(complete)
	}
}

func (e *Endpoint) removeRun(r *Run) {
	e.running = slices.DeleteFunc(e.running, func(x *Run) bool { return x == r })
}

// Cancel stops the request with the given name at the endpoint.
func (e *Endpoint) Cancel(o Order, requestName string) Result {
	if e.refusesFencingNumber(o) {
		return Fenced
	}
	for _, r := range slices.Clone(e.running) {
		if r.requestName() == requestName {
			e.Abort(r)
		}
	}
	return Accepted
}

// Abort stops a request whose sender has disconnected.
func (e *Endpoint) Abort(r *Run) {
	if !r.Finished {
		e.removeRun(r)
		r.finish(false)
	}
}
