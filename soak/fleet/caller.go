package fleet

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"shallotring.dev/soak/judge"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/outcome"
	"shallotring.dev/state/resource"
)

const (
	baseModel   = ident.BaseModel("base")
	serviceName = ident.Service("custody")
	// largeBodyBytes is the size of a request body whose response is too large for the ledger to record.
	largeBodyBytes = 3000
)

// callers send requests through a load balancer to the entries that are ready.
type callers struct {
	fleet        *Fleet
	requestCount int
	keyCount     int
	stopped      bool
}

func (c *callers) start() {
	clock := c.fleet.clock
	clock.After(clock.Between(0, 200*time.Millisecond), func() {
		if c.stopped {
			return
		}
		c.sendNext()
		c.start()
	})
}

// sendNext sends one request, or several at about the same time with the same idempotency key.
func (c *callers) sendNext() {
	clock := c.fleet.clock
	r := c.newRequest()
	n := 1
	if r.Key != "" && c.fleet.options.enabled(CallerRetries) && clock.Chance(80) {
		n = 2 + clock.Random().IntN(4)
	}
	for range n {
		clock.After(clock.Between(0, 20*time.Millisecond), func() { c.send(*r) })
	}
}

func (c *callers) newRequest() *judge.Request {
	clock := c.fleet.clock
	c.requestCount++
	r := &judge.Request{Caller: ident.Caller(fmt.Sprintf("caller-%d", clock.Random().IntN(3))), Body: fmt.Sprintf("body-%d", c.requestCount)}
	if clock.Chance(20) {
		r.Body += strings.Repeat("x", largeBodyBytes)
	}
	if clock.Chance(300) {
		r.Service = serviceName
	} else {
		r.Adapter.Adapter = c.fleet.randomAdapter()
		r.Stream = clock.Chance(500)
	}
	if r.Service != "" && clock.Chance(800) || clock.Chance(300) {
		c.keyCount++
		r.Key = ident.Key(fmt.Sprintf("key-%d", c.keyCount))
	}
	return r
}

// send sends a copy of a request to a random entry that is ready.
func (c *callers) send(r judge.Request) {
	f := c.fleet
	e := f.randomEntry()
	if e == nil || e.paused() {
		return // the load balancer finds no entry that responds
	}
	f.requestCount++
	r.ID = ident.RequestID(fmt.Sprintf("req-%d", f.requestCount))
	r.Entry = e.id
	r.Deadline = f.clock.Now().Add(f.clock.Between(500*time.Millisecond, 20*time.Second)).Truncate(time.Millisecond)
	if r.Service == "" && !e.resolve(&r) {
		return // the entry responds with 404: unknown adapter
	}
	x := e.serve(&r)
	if f.options.enabled(CallersDisconnect) && f.clock.Chance(30) {
		f.clock.After(f.clock.Between(0, 2*time.Second), func() { e.runUnpaused(x.handleDisconnect) })
	}
}

// resolve sets the version and the revision of the adapter from the configuration of the entry.
func (e *entry) resolve(r *judge.Request) bool {
	a, ok := e.resources.Adapter(r.Adapter.Adapter)
	if !ok {
		return false
	}
	if r.Adapter.Version == "" {
		r.Adapter.Version = a.Default
	}
	if _, ok = a.Version(r.Adapter.Version); !ok {
		return false
	}
	r.Revision = e.resources.ResourceRevision(resource.Name{Kind: resource.KindAdapter, Name: string(a.Name)})
	return true
}

// handleFinished makes callers retry a request with the same key: often if it is not known to have completed, otherwise
// rarely.
func (c *callers) handleFinished(r *judge.Request) {
	f := c.fleet
	if r.Key == "" || c.stopped || !f.options.enabled(CallerRetries) {
		return
	}
	chance := 100
	if r.Outcome != outcome.Completed {
		chance = 600
	}
	if !f.clock.Chance(chance) {
		return
	}
	retried := judge.Request{Caller: r.Caller, Key: r.Key, Body: r.Body, Adapter: r.Adapter, Service: r.Service, Stream: r.Stream}
	if f.clock.Chance(30) {
		retried.Body = "another " + r.Body
	}
	for range 1 + f.clock.Random().IntN(2) {
		f.clock.After(f.clock.Between(time.Millisecond, 8*time.Second), func() { c.send(retried) })
	}
}

// handleEntryCrash makes callers retry the keys that were in progress at an entry that crashed.
func (c *callers) handleEntryCrash(list []*exchange) {
	for _, x := range slices.Clone(list) {
		if x.request.Key != "" {
			c.handleFinished(x.request)
		}
	}
}
