package fleet

import (
	"fmt"
	"time"

	"shallotring.dev/soak/schedule"
	"shallotring.dev/soak/store"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/resource"
)

const (
	leaseDuration     = 10 * time.Second
	keepAliveInterval = 3 * time.Second
	retryInterval     = 500 * time.Millisecond
	storeTimeout      = time.Second
	fullReadInterval  = time.Second
	refreshTimeout    = 2 * time.Second
)

// process is the common part of agents, entries and operators: pauses, exit, presence key and configuration.
type process struct {
	fleet    *Fleet
	id       ident.Process
	isEntry  bool
	exited   bool
	pauseEnd time.Time
	// storeCutOffUntil is the time until which the process cannot reach the key-value service, which itself is available.
	storeCutOffUntil time.Time
	lease            int64
	resources        *resource.Set
	generation       ident.Revision
	// configured is set while the process has read the configuration since it last wrote its presence key.
	configured bool
	shards     map[int]resource.Update
}

func (p *process) clock() *schedule.Clock { return p.fleet.clock }

func (p *process) init(f *Fleet, role string) {
	f.lastSerial++
	p.fleet, p.id, p.isEntry = f, ident.Process(fmt.Sprintf("%s-%d", role, f.lastSerial)), role == "entry"
	p.resources, p.shards = resource.NewSet(), make(map[int]resource.Update)
	f.processes = append(f.processes, p)
	f.logEvent(string(p.id), "started")
}

// runAfter runs fn at this process after a delay: after the end of a pause if the process is paused, never if it has exited.
func (p *process) runAfter(delay time.Duration, fn func()) {
	p.clock().After(delay, func() { p.runUnpaused(fn) })
}

func (p *process) runUnpaused(fn func()) {
	if p.exited {
		return
	}
	if p.paused() {
		p.clock().After(p.pauseEnd.Sub(p.clock().Now())+p.clock().Between(0, time.Millisecond), func() { p.runUnpaused(fn) })
		return
	}
	fn()
}

func (p *process) paused() bool { return p.clock().Now().Before(p.pauseEnd) }

func (p *process) runEvery(interval time.Duration, fn func()) {
	p.runAfter(interval, func() {
		fn()
		p.runEvery(interval, fn)
	})
}

func (p *process) pause(d time.Duration) {
	p.fleet.logEvent(string(p.id), "paused for %s", d)
	p.pauseEnd = p.clock().Now().Add(d)
	p.clock().After(d, func() {
		if !p.exited && !p.paused() {
			p.fleet.logEvent(string(p.id), "woke")
			p.fleet.judge.PauseEnded(p.id)
		}
	})
}

// callStore calls the key-value service; a paused process handles the response after its pause.
func (p *process) callStore(timeout time.Duration, apply func(), done func(store.Status)) {
	if p.clock().Now().Before(p.storeCutOffUntil) {
		p.runAfter(timeout, func() { done(store.Lost) })
		return
	}
	p.fleet.store.Call(timeout, apply, func(s store.Status) { p.runUnpaused(func() { done(s) }) })
}

// start writes the presence key, then reads the configuration and then calls ready. With this order, a process whose presence
// key an operator does not find reads the operator's change.
func (p *process) start(ready func()) {
	p.announce(func() {
		p.readConfiguration(func(ok bool) {
			if !ok {
				p.runAfter(retryInterval, func() { p.start(ready) })
				return
			}
			p.runEvery(keepAliveInterval, p.renewPresence)
			p.runEvery(p.readInterval(), func() { p.readConfiguration(func(bool) {}) })
			ready()
		})
	})
}

// readInterval is longer without the generation mechanism, so that gaps of the watch stay unnoticed for longer.
func (p *process) readInterval() time.Duration {
	if p.fleet.options.Without == Generation {
		return 30 * fullReadInterval
	}
	return fullReadInterval
}

func (p *process) presenceKey() string { return presencePrefix + string(p.id) }

// announce writes the presence key with a new lease and then calls then.
func (p *process) announce(then func()) {
	ok := false
	p.callStore(storeTimeout, func() {
		p.fleet.store.Delete(p.presenceKey())
		p.lease = p.fleet.store.Grant(leaseDuration)
		_, ok = p.fleet.store.Swap(p.presenceKey(), 0, nil, p.lease)
	}, func(s store.Status) {
		if s != store.Answered || !ok {
			p.runAfter(retryInterval, func() { p.announce(then) })
			return
		}
		then()
	})
}

func (p *process) renewPresence() {
	ok := false
	p.callStore(storeTimeout, func() { ok = p.fleet.store.KeepAlive(p.lease, leaseDuration) }, func(s store.Status) {
		if s == store.Answered && !ok {
			p.configured = false
			p.announce(func() { p.readConfiguration(func(bool) {}) })
		}
	})
}

// readConfiguration reads all shards; the revision of the read becomes the generation.
func (p *process) readConfiguration(done func(ok bool)) {
	var list []store.Record
	var at ident.Revision
	p.callStore(storeTimeout, func() { list, at = p.fleet.store.List(configPrefix), p.fleet.store.Revision() }, func(s store.Status) {
		if s == store.Answered {
			p.applyRecords(list)
			p.generation = max(p.generation, at)
			p.configured = true
		}
		done(s == store.Answered)
	})
}

// applyRecords decodes and applies shards as coordination/configuration does: each by itself, in any order of arrival.
func (p *process) applyRecords(list []store.Record) {
	var updates []resource.Update
	for _, r := range list {
		var n int
		if _, err := fmt.Sscanf(r.Key, configPrefix+"%02x", &n); err != nil {
			panic(err)
		}
		sh, err := resource.DecodeShard(n, r.Value)
		if err != nil {
			panic(err)
		}
		updates = append(updates, resource.Update{Number: n, Revision: r.Revision, Shard: sh})
	}
	p.applyUpdates(updates)
	for _, u := range updates {
		_, at := p.resources.Shard(u.Number)
		p.fleet.judge.InForce(p.id, u.Number, at)
	}
}

func (p *process) applyUpdates(updates []resource.Update) {
	if p.fleet.options.Without != ConfigurationOrder {
		p.resources = p.resources.ApplyAll(updates)
		return
	}
	set := resource.NewSet()
	for _, u := range updates {
		p.shards[u.Number] = u
	}
	for n := range resource.ShardCount {
		if u, ok := p.shards[n]; ok {
			set = set.Apply(u.Number, u.Revision, u.Shard)
		}
	}
	p.resources = set
}

// deliverChange delivers a change of the configuration from the watch; it can be late or be lost.
func (p *process) deliverChange(r store.Record) {
	c := p.clock()
	if p.fleet.watchGaps && c.Chance(600) {
		return
	}
	delay := c.Between(2*time.Millisecond, 60*time.Millisecond)
	if c.Chance(100) {
		delay = c.Between(100*time.Millisecond, 4*time.Second)
	}
	p.runAfter(delay, func() { p.applyRecords([]store.Record{r}) })
}

// kill ends the process immediately.
func (p *process) kill() {
	p.exited = true
	p.fleet.judge.ProcessExited(p.id)
	p.fleet.logEvent(string(p.id), "exited")
}

// revokePresence removes the presence key of a process that stops as planned.
func (p *process) revokePresence() {
	lease := p.lease
	p.fleet.store.Call(storeTimeout, func() { p.fleet.store.Revoke(lease) }, func(store.Status) {})
}
