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
	// largeBody makes an answer that is too large to be recorded.
	largeBody = 3000
)

// callers send requests to the entries that the load balancer knows.
type callers struct {
	fleet  *Fleet
	serial int
	keys   int
	over   bool
}

func (c *callers) start() {
	clock := c.fleet.clock
	clock.After(clock.Between(0, 200*time.Millisecond), func() {
		if c.over {
			return
		}
		c.next()
		c.start()
	})
}

// next sends one request, or several with one key at once.
func (c *callers) next() {
	clock := c.fleet.clock
	r := c.request()
	n := 1
	if r.Key != "" && c.fleet.options.on(Repeats) && clock.Chance(80) {
		n = 2 + clock.Random().IntN(4)
	}
	for range n {
		clock.After(clock.Between(0, 20*time.Millisecond), func() { c.send(*r) })
	}
}

func (c *callers) request() *judge.Request {
	clock := c.fleet.clock
	c.serial++
	r := &judge.Request{Caller: ident.Caller(fmt.Sprintf("caller-%d", clock.Random().IntN(3))), Body: fmt.Sprintf("body-%d", c.serial)}
	if clock.Chance(20) {
		r.Body += strings.Repeat("x", largeBody)
	}
	if clock.Chance(300) {
		r.Service = serviceName
	} else {
		r.Adapter.Adapter = c.fleet.anyAdapter()
		r.Stream = clock.Chance(500)
	}
	if r.Service != "" && clock.Chance(800) || clock.Chance(300) {
		c.keys++
		r.Key = ident.Key(fmt.Sprintf("key-%d", c.keys))
	}
	return r
}

// send sends a copy of a request to any entry that is ready.
func (c *callers) send(r judge.Request) {
	f := c.fleet
	e := f.anyEntry()
	if e == nil || e.paused() {
		return // the load balancer has no entry for it
	}
	f.requests++
	r.ID = ident.RequestID(fmt.Sprintf("req-%d", f.requests))
	r.Entry = e.id
	r.Deadline = f.clock.Now().Add(f.clock.Between(500*time.Millisecond, 20*time.Second)).Truncate(time.Millisecond)
	if r.Service == "" && !e.resolve(&r) {
		return // unknown adapter: 404
	}
	x := e.serve(&r)
	if f.options.on(CallersLeave) && f.clock.Chance(30) {
		f.clock.After(f.clock.Between(0, 2*time.Second), func() { e.awake(x.leave) })
	}
}

// resolve finds the adapter's version as the entry knows it.
func (e *entry) resolve(r *judge.Request) bool {
	a, ok := e.set.Adapter(r.Adapter.Adapter)
	if !ok {
		return false
	}
	if r.Adapter.Version == "" {
		r.Adapter.Version = a.Default
	}
	if _, ok = a.Version(r.Adapter.Version); !ok {
		return false
	}
	r.Revision = e.set.ResourceRevision(resource.Name{Kind: resource.KindAdapter, Name: string(a.Name)})
	return true
}

// finished lets callers repeat keys whose outcome they do not know, and sometimes others.
func (c *callers) finished(r *judge.Request) {
	f := c.fleet
	if r.Key == "" || c.over || !f.options.on(Repeats) {
		return
	}
	chance := 100
	if r.Outcome != outcome.Completed {
		chance = 600
	}
	if !f.clock.Chance(chance) {
		return
	}
	again := judge.Request{Caller: r.Caller, Key: r.Key, Body: r.Body, Adapter: r.Adapter, Service: r.Service, Stream: r.Stream}
	if f.clock.Chance(30) {
		again.Body = "another " + r.Body
	}
	for range 1 + f.clock.Random().IntN(2) {
		f.clock.After(f.clock.Between(time.Millisecond, 8*time.Second), func() { c.send(again) })
	}
}

// broken lets callers repeat the keys of an entry that has ended.
func (c *callers) broken(list []*exchange) {
	for _, x := range slices.Clone(list) {
		if x.request.Key != "" {
			c.finished(x.request)
		}
	}
}
