package backend

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
	"time"

	"shallotring.dev/soak/schedule"
	"shallotring.dev/state/gate"
	"shallotring.dev/state/ident"
)

// Order is what the endpoint knows of the sender of a command.
type Order struct {
	Incarnation ident.Incarnation
	Sender      ident.Process
	// Checked and Sent are the times of the sender's check of its claim and of the send.
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

// Run is one journal entry.
type Run struct {
	Request
	Order    Order
	Endpoint *Endpoint
	Serial   int
	// Ran and Digest are the weights that computed the answer.
	Ran     ident.AdapterVersion
	Digest  string
	Text    string
	Started time.Time
	Done    bool
	Over    bool
	// Connected is set while the sender still reads the answer.
	Connected bool
	part      func([]byte)
	end       func(whole bool)
}

// Observer is told what happens at the endpoints.
type Observer interface {
	Ran(r *Run)
	Evicted(e *Endpoint, av ident.AdapterVersion, o Order, users []*Run)
}

// Answer is the answer to a command or a request.
type Answer int

// Answers.
const (
	Accepted Answer = iota
	Fenced
	// Absent means that the adapter is not loaded; nothing ran.
	Absent
	// Failed means that a load failed.
	Failed
)

// Endpoint is the state of one engine or plain service.
type Endpoint struct {
	Name          ident.Endpoint
	Service       bool
	ChecksFencing bool
	Slots         int
	StartID       ident.StartID
	Clock         *schedule.Clock
	Observer      Observer
	// FailLoads is the share of loads that fail, out of 1000; SlowStore makes loads slow.
	FailLoads func() int
	SlowStore func() bool
	// WrongAdapter and EvictsInUse break a rule on purpose, to test the judge.
	WrongAdapter bool
	EvictsInUse  bool

	fence   ident.Incarnation
	loaded  map[ident.AdapterVersion]string
	running []*Run
	serial  int
	starts  int
}

// Start starts the endpoint's process with nothing loaded.
func (e *Endpoint) Start() {
	e.starts++
	e.fence = 0 // an engine has no disk to keep it on
	e.StartID = ident.StartID(fmt.Sprintf("%s-start-%d", e.Name, e.starts))
	e.loaded = make(map[ident.AdapterVersion]string)
	list := e.running
	e.running = nil
	for _, r := range list {
		r.stop(false)
	}
}

// refuses reports whether the endpoint refuses an order with this fencing number.
func (e *Endpoint) refuses(o Order) bool {
	if !e.ChecksFencing {
		return false
	}
	if o.Incarnation < e.fence {
		return true
	}
	e.fence = o.Incarnation
	return false
}

// Models lists the loaded adapters.
func (e *Endpoint) Models() (list []gate.Model) {
	for av, digest := range e.loaded {
		list = append(list, gate.Model{Adapter: av, Digest: digest})
	}
	slices.SortFunc(list, func(a, b gate.Model) int { return strings.Compare(a.Adapter.String(), b.Adapter.String()) })
	return list
}

// Running lists the running requests.
func (e *Endpoint) Running() (list []gate.Request) {
	for _, r := range e.running {
		list = append(list, gate.Request{ID: r.name(), Adapter: r.Adapter})
	}
	return list
}

// Open returns the journal entries that have not ended.
func (e *Endpoint) Open() []*Run { return e.running }

// Load loads weights; done gets the digest that the engine lists afterwards.
func (e *Endpoint) Load(o Order, av ident.AdapterVersion, path string, done func(a Answer, digest string)) {
	if e.refuses(o) {
		done(Fenced, "")
		return
	}
	took := e.Clock.Between(200*time.Millisecond, 350*time.Millisecond)
	if e.SlowStore() {
		took = e.Clock.Between(time.Second, 6*time.Second)
	}
	start := e.StartID
	e.Clock.After(took, func() {
		if e.StartID != start {
			done(Failed, "")
			return
		}
		if _, present := e.loaded[av]; !present {
			if e.Clock.Chance(e.FailLoads()) || len(e.loaded) >= e.Slots {
				done(Failed, "")
				return
			}
			e.loaded[av] = Digest(path)
			if e.EvictsInUse {
				e.evictAny(o)
			}
		}
		done(Accepted, e.loaded[av])
	})
}

// Digest is the digest of the weights at a path of the weight store.
func Digest(path string) string {
	sum := sha256.Sum256([]byte(path))
	return hex.EncodeToString(sum[:])
}

// Unload evicts an adapter.
func (e *Endpoint) Unload(o Order, av ident.AdapterVersion) Answer {
	if e.refuses(o) {
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
		if r.Ran == av {
			users = append(users, r)
		}
	}
	delete(e.loaded, av)
	e.Observer.Evicted(e, av, o, users)
}

// evictAny evicts an adapter in use, as an engine with an eviction policy of its own would.
func (e *Endpoint) evictAny(o Order) {
	if len(e.running) > 0 {
		e.evict(o, e.running[0].Ran)
	}
}

// Run starts a request; part gets the answer's parts and end its end.
func (e *Endpoint) Run(o Order, q Request, part func([]byte), end func(whole bool)) (r *Run, a Answer) {
	if e.refuses(o) {
		return nil, Fenced
	}
	r = &Run{Request: q, Order: o, Endpoint: e, Started: e.Clock.Now(), Connected: true, part: part, end: end, Ran: q.Adapter}
	if !e.Service {
		digest, ok := e.loaded[q.Adapter]
		if !ok {
			return nil, Absent
		}
		r.Digest = digest
		if e.WrongAdapter {
			for _, m := range e.Models() {
				r.Ran, r.Digest = m.Adapter, m.Digest
			}
		}
	}
	e.serial++
	r.Serial = e.serial
	e.running = append(e.running, r)
	parts := r.parts()
	e.Observer.Ran(r)
	e.generate(r, parts)
	return r, Accepted
}

// parts returns the parts of the answer; each names the run, so that no two runs have an answer in common.
func (r *Run) parts() (list []string) {
	n := 1 + r.Endpoint.Clock.Random().IntN(6)
	for i := range n {
		text := fmt.Sprintf("%s %s %s#%d %s %d/%d", r.Ran, r.Endpoint.Name, r.name(), r.Serial, r.Body, i+1, n)
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

func (r *Run) name() string { return fmt.Sprintf("%s/%d", r.ID.RequestID, r.ID.Try) }

func (e *Endpoint) generate(r *Run, parts []string) {
	e.Clock.After(e.Clock.Between(20*time.Millisecond, 250*time.Millisecond), func() {
		if r.Over {
			return
		}
		r.part([]byte(parts[0]))
		if r.Over {
			return
		}
		if len(parts) > 1 {
			e.generate(r, parts[1:])
			return
		}
		r.Done = true
		e.remove(r)
		r.stop(true)
	})
}

func (r *Run) stop(whole bool) {
	if !r.Over {
		r.Over = true
		r.end(whole)
	}
}

func (e *Endpoint) remove(r *Run) {
	e.running = slices.DeleteFunc(e.running, func(x *Run) bool { return x == r })
}

// Cancel stops requests by the endpoint's id of them.
func (e *Endpoint) Cancel(o Order, name string) Answer {
	if e.refuses(o) {
		return Fenced
	}
	for _, r := range slices.Clone(e.running) {
		if r.name() == name {
			e.Abort(r)
		}
	}
	return Accepted
}

// Abort stops a request whose sender has gone.
func (e *Endpoint) Abort(r *Run) {
	if !r.Over {
		e.remove(r)
		r.stop(false)
	}
}
