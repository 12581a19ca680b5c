package live

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"shallotring.dev/platform/standin"
	"shallotring.dev/standin/link"
)

// fault is one kind of trouble; run lasts until the trouble has ended.
type fault struct {
	name string
	// planned work is no excuse for lost requests.
	planned bool
	// weight is the share of the kind among all faults; those that touch requests most occur most.
	weight int
	run    func(d *deployment, r *rand.Rand)
}

// faults lists all kinds; planned ones occur at any time, the others only in storms.
var faults = []fault{
	{"entry stopped", true, 3, func(d *deployment, r *rand.Rand) { d.stopAndStart(d.anyEntry(r).process, r) }},
	{"agent stopped", true, 1, func(d *deployment, r *rand.Rand) { d.stopAndStart(d.anyEngine(r).agent, r) }},
	{"settings changed", true, 1, func(d *deployment, r *rand.Rand) { d.reload(d.anyEntry(r).process) }},
	{"configuration", true, 1, func(d *deployment, _ *rand.Rand) { d.configure() }},
	{"configurations", true, 1, func(d *deployment, r *rand.Rand) {
		for range 2 + r.IntN(4) {
			d.configure()
			time.Sleep(span(r, 50, 400))
		}
	}},
	{"version", true, 3, func(d *deployment, r *rand.Rand) { d.declare(1 + r.IntN(adapterCount)) }},
	{"release", true, 3, func(d *deployment, r *rand.Rand) { d.release(d.anyEndpoint(r), r, true) }},
	{"silent release", false, 1, func(d *deployment, r *rand.Rand) { d.release(d.anyEndpoint(r), r, false) }},
	{"foreign entry", false, 1, func(d *deployment, r *rand.Rand) { d.foreign(r) }},
	{"entry killed", false, 2, func(d *deployment, r *rand.Rand) { d.killAndStart(d.anyEntry(r).process, r) }},
	{"agent killed", false, 2, func(d *deployment, r *rand.Rand) { d.killAndStart(d.anyEngine(r).agent, r) }},
	{"entries killed", false, 1, func(d *deployment, r *rand.Rand) {
		d.killAll(func(p *process) bool { return p.settings.Front != "" }, r)
	}},
	{"agents killed", false, 1, func(d *deployment, r *rand.Rand) {
		d.killAll(func(p *process) bool { return p.settings.Front == "" }, r)
	}},
	{"entry paused", false, 1, func(d *deployment, r *rand.Rand) { suspend(d.anyEntry(r).process, r) }},
	{"agent paused", false, 1, func(d *deployment, r *rand.Rand) { suspend(d.anyEngine(r).agent, r) }},
	{"endpoint crashed", false, 3, func(d *deployment, r *rand.Rand) { d.crash(d.anyEndpoint(r), r) }},
	{"endpoint misbehaves", false, 6, func(d *deployment, r *rand.Rand) { misbehave(d.anyEndpoint(r), r) }},
	{"orders late", false, 1, func(d *deployment, r *rand.Rand) {
		e := d.anyEngine(r)
		e.Misbehave(standin.Fault{OrderDelay: span(r, 200, 2500)})
		time.Sleep(span(r, 500, 4000))
		e.Misbehave(standin.Fault{})
	}},
	{"store down", false, 1, func(d *deployment, r *rand.Rand) {
		d.store.Down(true)
		time.Sleep(span(r, 200, 6000))
		d.store.Down(false)
	}},
	{"store loses answers", false, 1, func(d *deployment, r *rand.Rand) {
		d.store.Lose(true)
		time.Sleep(span(r, 200, 3000))
		d.store.Lose(false)
	}},
	{"store forgets", false, 1, func(d *deployment, _ *rand.Rand) { d.store.Compact() }},
	{"links to the store", false, 1, func(d *deployment, r *rand.Rand) {
		f := linkFault(r)
		for _, l := range d.storeLinks(r) {
			l.Set(f)
			defer l.Set(link.Fault{})
		}
		time.Sleep(span(r, 200, 5000))
	}},
	{"link to an endpoint", false, 3, func(d *deployment, r *rand.Rand) { impair(d.anyEndpoint(r).calls, r) }},
	{"link to an agent", false, 1, func(d *deployment, r *rand.Rand) { impair(d.anyEngine(r).control, r) }},
	{"link to an entry", false, 1, func(d *deployment, r *rand.Rand) { impair(d.anyEntry(r).front, r) }},
	{"connections reset", false, 2, func(d *deployment, r *rand.Rand) {
		for _, l := range []*link.Link{d.anyEndpoint(r).calls, d.anyEngine(r).control, d.anyEntry(r).front, d.anyEntry(r).store} {
			l.Reset()
		}
	}},
}

// longestGap is the most milliseconds between the beginnings of two faults.
const longestGap = 500

// anyFault returns a random kind.
func anyFault(r *rand.Rand) fault {
	sum := 0
	for _, f := range faults {
		sum += f.weight
	}
	n := r.IntN(sum)
	for _, f := range faults {
		if n -= f.weight; n < 0 {
			return f
		}
	}
	return faults[0]
}

// span returns a random time between two numbers of milliseconds.
func span(r *rand.Rand, least, most int) time.Duration {
	return time.Duration(least+r.IntN(most-least)) * time.Millisecond
}

func (d *deployment) anyEntry(r *rand.Rand) *entry     { return d.entries[r.IntN(len(d.entries))] }
func (d *deployment) anyEngine(r *rand.Rand) *endpoint { return d.engines[r.IntN(len(d.engines))] }
func (d *deployment) anyEndpoint(r *rand.Rand) *endpoint {
	if r.IntN(3) == 0 {
		return d.plain[r.IntN(len(d.plain))]
	}
	return d.anyEngine(r)
}

// storeLinks returns some of the links to the store: that of one process or those of all.
func (d *deployment) storeLinks(r *rand.Rand) (list []*link.Link) {
	switch r.IntN(3) {
	case 0:
		return append(list, d.anyEntry(r).store)
	case 1:
		return append(list, d.anyEngine(r).store)
	}
	for _, e := range d.entries {
		list = append(list, e.store)
	}
	for _, e := range d.engines {
		list = append(list, e.store)
	}
	return list
}

// linkFault returns one way in which a link misbehaves.
func linkFault(r *rand.Rand) link.Fault {
	switch r.IntN(5) {
	case 0:
		return link.Fault{Cut: true}
	case 1:
		return link.Fault{HoldTo: true}
	case 2:
		return link.Fault{HoldFrom: true}
	case 3:
		return link.Fault{HoldTo: true, HoldFrom: true}
	}
	return link.Fault{Delay: span(r, 20, 600)}
}

// impair gives a link a fault for a while.
func impair(l *link.Link, r *rand.Rand) {
	l.Set(linkFault(r))
	time.Sleep(span(r, 100, 4000))
	l.Set(link.Fault{})
}

// start starts a process again; a start that fails ends the run.
func (d *deployment) start(p *process) {
	if err := p.start(); err != nil {
		d.judge.violate("processes", "%v", err)
	}
}

// stopAndStart stops a process as the platform does for planned work.
func (d *deployment) stopAndStart(p *process, r *rand.Rand) {
	if number, ok := p.running(); ok {
		d.judge.stops(life{p.host, number})
	}
	p.stop()
	time.Sleep(span(r, 50, 1500))
	d.start(p)
}

// killAndStart kills a process and starts it again after a while.
func (d *deployment) killAndStart(p *process, r *rand.Rand) {
	p.kill()
	time.Sleep(span(r, 50, 3000))
	d.start(p)
}

// killAll kills all processes of a kind at the same moment.
func (d *deployment) killAll(of func(p *process) bool, r *rand.Rand) {
	var list []*process
	for _, e := range d.entries {
		list = append(list, e.process)
	}
	for _, e := range d.engines {
		list = append(list, e.agent)
	}
	wait := span(r, 50, 1500)
	for _, p := range list {
		if of(p) {
			p.kill()
			defer d.start(p)
		}
	}
	time.Sleep(wait)
}

// reload writes the settings anew and tells the process.
func (d *deployment) reload(p *process) {
	if err := p.write(); err != nil {
		d.judge.violate("processes", "%v", err)
	}
	p.hangUp()
}

// suspend stops a process from running for a while without ending it.
func suspend(p *process, r *rand.Rand) {
	p.signal(syscall.SIGSTOP, false)
	time.Sleep(span(r, 100, 5000))
	p.signal(syscall.SIGCONT, false)
}

// misbehave gives an endpoint one fault, and at times another one after it.
func misbehave(e *endpoint, r *rand.Rand) {
	for range 1 + r.IntN(3) {
		share := 0.1 + 0.7*r.Float64()
		e.Misbehave([]standin.Fault{
			{Full: share}, {Fail: share}, {Lose: share}, {Break: share}, {Garble: share}, {Trail: share}, {Slow: span(r, 20, 300)},
		}[r.IntN(7)])
		time.Sleep(span(r, 300, 3000))
	}
	e.Misbehave(standin.Fault{})
}

// crash ends an endpoint without notice; it comes back with a clock that may have been set back, under a new id or its old one.
func (d *deployment) crash(e *endpoint, r *rand.Rand) {
	e.crash()
	time.Sleep(span(r, 50, 5000))
	e.Step(span(r, -3_600_000, 60_000))
	d.begin(e, r.IntN(2) == 0)
}

// begin starts the next life of an endpoint.
func (d *deployment) begin(e *endpoint, renamed bool) {
	if renamed {
		e.Remove()
	}
	if err := e.begin(renamed); err != nil {
		d.judge.violate("processes", "%v", err)
	}
}

// release replaces an endpoint by a new one; announced ones say that they leave.
func (d *deployment) release(e *endpoint, r *rand.Rand, announced bool) {
	e.mu.Lock()
	alive := e.server != nil && !e.silent
	e.silent = alive
	e.mu.Unlock()
	if !alive {
		return
	}
	if announced {
		e.Drain()
	} else {
		e.Remove()
	}
	d.judge.leaves(e.ID())
	time.Sleep(drainTime + span(r, 500, 4000))
	e.Remove()
	if announced {
		time.Sleep(span(r, 0, 500))
	}
	e.crash()
	time.Sleep(span(r, 100, 2000))
	d.begin(e, true)
}

// foreign writes entries of another writer, which name no endpoint, for a while.
func (d *deployment) foreign(r *rand.Rand) {
	values := []string{
		"", "{", "[]", `{"service":"llm"}`, `{"service":7,"address":"127.0.0.1:9","slots":4,"state":"ready","born":1}`, "\xff\xfe",
		`{"service":"plain-0","address":"127.0.0.1:9","slots":4,"state":"asleep","born":1}`, `{"service":"plain-0","address":"nowhere","slots":4,"state":"ready"}`,
	}
	key := fmt.Sprint("foreign-", r.IntN(4))
	d.store.Intrude(key, []byte(values[r.IntN(len(values))]))
	time.Sleep(span(r, 100, 3000))
	d.store.Intrude(key, nil)
}

// configure writes the next configuration: it adds one route and removes the oldest of three.
func (d *deployment) configure() {
	d.writing.Lock()
	defer d.writing.Unlock()
	version := d.version.Load() + 1
	confirmed := d.judge.configured(version)
	routes := []standin.Route{
		{Prefix: "/g/", Kind: "streaming", Timeout: 5 * time.Second, Goal: time.Second, Engines: 1, Service: "llm"},
		{Prefix: "/o/", Kind: "non_idempotent", Timeout: 2 * time.Second, Goal: 150 * time.Millisecond, Engines: 1, Service: "plain-0"},
		{Prefix: "/r/", Kind: "idempotent", Timeout: 2 * time.Second, Goal: 150 * time.Millisecond, Engines: 3, Service: "plain-0"},
	}
	for v := max(1, version-1); v <= version; v++ {
		routes = append(routes, standin.Route{
			Prefix: fmt.Sprintf("/v%d/", v), Kind: "non_idempotent", Timeout: 2 * time.Second, Goal: 150 * time.Millisecond, Engines: 1, Service: fmt.Sprint("plain-", v%2),
		})
	}
	for i := range routes {
		routes[i].Host = hostName
	}
	d.store.Configure(version, routes, []standin.Service{{Name: "llm", Model: modelName, Places: places}, {Name: "plain-0"}, {Name: "plain-1"}})
	d.version.Store(version)
	confirmed()
}

// declare writes the next version of an adapter.
func (d *deployment) declare(adapter int) {
	d.writing.Lock()
	defer d.writing.Unlock()
	name := fmt.Sprint("a", adapter)
	version := d.judge.nextVersion(name)
	d.store.Declare(modelName, name, int(version))
	d.judge.declares(name, version)
}

// play runs storms and calm times by turns, and a calm time at the end in which the system must recover.
func (d *deployment) play(ctx context.Context, random *rand.Rand, duration time.Duration) (count int) {
	running := make(chan struct{}, d.options.Overlap)
	for end := time.Now().Add(duration); time.Now().Before(end) && ctx.Err() == nil; {
		count += d.phase(ctx, random, running, time.Now().Add(span(random, 3000, 9000)), false)
		count += d.phase(ctx, random, running, time.Now().Add(contact+span(random, 3000, 8000)), true)
	}
	return count
}

// phase begins faults one after the other, some at the same time, and waits for the end of all.
func (d *deployment) phase(ctx context.Context, random *rand.Rand, running chan struct{}, end time.Time, calm bool) (count int) {
	for ctx.Err() == nil && time.Now().Before(end) {
		f := anyFault(random)
		seed := rand.NewPCG(random.Uint64(), random.Uint64())
		gap := span(random, 0, longestGap)
		if f.planned || !calm {
			count++
			running <- struct{}{}
			go func() {
				defer func() { <-running }()
				d.inject(f, rand.New(seed))
			}()
		}
		time.Sleep(gap)
	}
	for range cap(running) {
		running <- struct{}{}
	}
	for range cap(running) {
		<-running
	}
	return count
}

func (d *deployment) inject(f fault, r *rand.Rand) {
	if !f.planned {
		defer d.judge.disturb()()
	}
	began := time.Now()
	f.run(d, r)
	d.judge.note(fmt.Sprintf("%s %s for %s", began.Format("05.000"), f.name, time.Since(began).Round(time.Millisecond)))
}
