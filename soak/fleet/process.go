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
	leaseTime   = 10 * time.Second
	keepAlive   = 3 * time.Second
	retryEvery  = 500 * time.Millisecond
	storeCall   = time.Second
	fullRead    = time.Second
	refreshCall = 2 * time.Second
)

// process is what agents and entries have in common: life, pauses, presence and configuration.
type process struct {
	fleet    *Fleet
	id       ident.Process
	entry    bool
	dead     bool
	pauseEnd time.Time
	// cutOff is the time until which the process cannot reach the key-value service, which is up.
	cutOff     time.Time
	lease      int64
	set        *resource.Set
	generation ident.Revision
	// configured is set while the configuration has been read since the process was announced.
	configured bool
	shards     map[int]resource.Update
}

func (p *process) clock() *schedule.Clock { return p.fleet.clock }

func (p *process) init(f *Fleet, role string) {
	f.serial++
	p.fleet, p.id, p.entry = f, ident.Process(fmt.Sprintf("%s-%d", role, f.serial)), role == "entry"
	p.set, p.shards = resource.NewSet(), make(map[int]resource.Update)
	f.processes = append(f.processes, p)
	f.note(string(p.id), "started")
}

// later runs fn at this process; a process that is paused runs it after waking, a dead one never.
func (p *process) later(d time.Duration, fn func()) {
	p.clock().After(d, func() { p.awake(fn) })
}

func (p *process) awake(fn func()) {
	if p.dead {
		return
	}
	if p.paused() {
		p.clock().After(p.pauseEnd.Sub(p.clock().Now())+p.clock().Between(0, time.Millisecond), func() { p.awake(fn) })
		return
	}
	fn()
}

func (p *process) paused() bool { return p.clock().Now().Before(p.pauseEnd) }

func (p *process) every(d time.Duration, fn func()) {
	p.later(d, func() {
		fn()
		p.every(d, fn)
	})
}

func (p *process) pause(d time.Duration) {
	p.fleet.note(string(p.id), "paused for %s", d)
	p.pauseEnd = p.clock().Now().Add(d)
	p.clock().After(d, func() {
		if !p.dead && !p.paused() {
			p.fleet.note(string(p.id), "woke")
			p.fleet.judge.Woke(p.id)
		}
	})
}

// call calls the key-value service; the answer waits for the end of a pause.
func (p *process) call(timeout time.Duration, apply func(), done func(store.Status)) {
	if p.clock().Now().Before(p.cutOff) {
		p.later(timeout, func() { done(store.Lost) })
		return
	}
	p.fleet.store.Call(timeout, apply, func(s store.Status) { p.awake(func() { done(s) }) })
}

// begin announces the process, then reads the configuration and then calls ready: in this order every process that an
// operator does not find announced reads the operator's change.
func (p *process) begin(ready func()) {
	p.announce(func() {
		p.readAll(func(ok bool) {
			if !ok {
				p.later(retryEvery, func() { p.begin(ready) })
				return
			}
			p.every(keepAlive, p.keepPresence)
			p.every(p.readInterval(), func() { p.readAll(func(bool) {}) })
			ready()
		})
	})
}

func (p *process) readInterval() time.Duration {
	if p.fleet.options.Without == Generation {
		return 30 * fullRead
	}
	return fullRead
}

func (p *process) presence() string { return presencePrefix + string(p.id) }

func (p *process) announce(then func()) {
	ok := false
	p.call(storeCall, func() {
		p.fleet.store.Delete(p.presence())
		p.lease = p.fleet.store.Grant(leaseTime)
		_, ok = p.fleet.store.Swap(p.presence(), 0, nil, p.lease)
	}, func(s store.Status) {
		if s != store.Answered || !ok {
			p.later(retryEvery, func() { p.announce(then) })
			return
		}
		then()
	})
}

func (p *process) keepPresence() {
	ok := false
	p.call(storeCall, func() { ok = p.fleet.store.KeepAlive(p.lease, leaseTime) }, func(s store.Status) {
		if s == store.Answered && !ok {
			p.configured = false
			p.announce(func() { p.readAll(func(bool) {}) })
		}
	})
}

// readAll reads all shards; its revision is the generation.
func (p *process) readAll(done func(ok bool)) {
	var list []store.Record
	var at ident.Revision
	p.call(storeCall, func() { list, at = p.fleet.store.List(configPrefix), p.fleet.store.Revision() }, func(s store.Status) {
		if s == store.Answered {
			p.put(list)
			p.generation = max(p.generation, at)
			p.configured = true
		}
		done(s == store.Answered)
	})
}

// put applies shards as coordination/configuration does: decoded one by one and in any order of arrival.
func (p *process) put(list []store.Record) {
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
	p.apply(updates)
	for _, u := range updates {
		_, at := p.set.Shard(u.Number)
		p.fleet.judge.InForce(p.id, u.Number, at)
	}
}

func (p *process) apply(updates []resource.Update) {
	if p.fleet.options.Without != ConfigurationOrder {
		p.set = p.set.ApplyAll(updates)
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
	p.set = set
}

// watched delivers one change of the configuration, late or not at all.
func (p *process) watched(r store.Record) {
	c := p.clock()
	if p.fleet.watchGaps && c.Chance(600) {
		return
	}
	delay := c.Between(2*time.Millisecond, 60*time.Millisecond)
	if c.Chance(100) {
		delay = c.Between(100*time.Millisecond, 4*time.Second)
	}
	p.later(delay, func() { p.put([]store.Record{r}) })
}

// kill ends the process without notice.
func (p *process) kill() {
	p.dead = true
	p.fleet.judge.Gone(p.id)
	p.fleet.note(string(p.id), "ended")
}

// revoke ends the presence of a process that stops as planned.
func (p *process) revoke() {
	lease := p.lease
	p.fleet.store.Call(storeCall, func() { p.fleet.store.Revoke(lease) }, func(store.Status) {})
}
