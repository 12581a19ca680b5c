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

// fault is one kind of fault; run injects it and returns when it has ended.
type fault struct {
	name string
	// planned marks the work of operators, during which no request may be lost.
	planned bool
	// weight is the relative frequency of the kind; faults that affect requests most have the highest weights.
	weight int
	run    func(d *deployment, r *rand.Rand)
}

// faults lists all kinds. Planned ones occur at any time, the others only in phases with unplanned faults.
var faults = []fault{
	{"entry stopped", true, 3, func(d *deployment, r *rand.Rand) { d.stopAndStart(d.randomEntry(r).process, r) }},
	{"agent stopped", true, 1, func(d *deployment, r *rand.Rand) { d.stopAndStart(d.randomEngine(r).agent, r) }},
	{"settings changed", true, 1, func(d *deployment, r *rand.Rand) { d.reload(d.randomEntry(r).process) }},
	{"configuration", true, 1, func(d *deployment, _ *rand.Rand) { d.configure() }},
	{"configurations", true, 1, func(d *deployment, r *rand.Rand) {
		for range 2 + r.IntN(4) {
			d.configure()
			time.Sleep(randomDuration(r, 50, 400))
		}
	}},
	{"version", true, 3, func(d *deployment, r *rand.Rand) { d.declareVersion(1 + r.IntN(adapterCount)) }},
	{"base version", true, 3, func(d *deployment, _ *rand.Rand) { d.declareBaseVersion() }},
	{"release", true, 3, func(d *deployment, r *rand.Rand) { d.replaceEndpoint(d.randomEndpoint(r), r, true) }},
	{"unannounced release", false, 1, func(d *deployment, r *rand.Rand) { d.replaceEndpoint(d.randomEndpoint(r), r, false) }},
	{"invalid registration", false, 1, func(d *deployment, r *rand.Rand) { d.writeInvalidRegistration(r) }},
	{"entry killed", false, 2, func(d *deployment, r *rand.Rand) { d.killAndStart(d.randomEntry(r).process, r) }},
	{"agent killed", false, 2, func(d *deployment, r *rand.Rand) { d.killAndStart(d.randomEngine(r).agent, r) }},
	{"entries killed", false, 1, func(d *deployment, r *rand.Rand) {
		d.killAndStartAll(func(p *process) bool { return p.settings.Front != "" }, r)
	}},
	{"agents killed", false, 1, func(d *deployment, r *rand.Rand) {
		d.killAndStartAll(func(p *process) bool { return p.settings.Front == "" }, r)
	}},
	{"entry paused", false, 1, func(d *deployment, r *rand.Rand) {
		e := d.randomEntry(r)
		defer d.judge.excuse(e.host)()
		pauseProcess(e.process, r)
	}},
	{"agent paused", false, 1, func(d *deployment, r *rand.Rand) { pauseProcess(d.randomEngine(r).agent, r) }},
	{"endpoint crashed", false, 3, func(d *deployment, r *rand.Rand) { d.crashAndRestart(d.randomEndpoint(r), r) }},
	{"endpoint misbehaves", false, 6, func(d *deployment, r *rand.Rand) { injectEndpointFaults(d.randomEndpoint(r), r) }},
	{"orders late", false, 1, func(d *deployment, r *rand.Rand) {
		e := d.randomEngine(r)
		e.SetFault(standin.Fault{OrderDelay: randomDuration(r, 200, 2500)})
		time.Sleep(randomDuration(r, 500, 4000))
		e.SetFault(standin.Fault{})
	}},
	{"store down", false, 1, func(d *deployment, r *rand.Rand) {
		d.store.SetDown(true)
		time.Sleep(randomDuration(r, 200, 6000))
		d.store.SetDown(false)
	}},
	{"store loses answers", false, 1, func(d *deployment, r *rand.Rand) {
		d.store.SetDropResponses(true)
		time.Sleep(randomDuration(r, 200, 3000))
		d.store.SetDropResponses(false)
	}},
	{"store restored", false, 1, func(d *deployment, r *rand.Rand) { d.restoreStore(r) }},
	{"store compacted", false, 1, func(d *deployment, _ *rand.Rand) { d.store.Compact() }},
	{"links to the store", false, 1, func(d *deployment, r *rand.Rand) {
		f := randomLinkFault(r)
		for _, l := range d.storeLinks(r) {
			l.Set(f)
			defer l.Set(link.Fault{})
		}
		time.Sleep(randomDuration(r, 200, 5000))
	}},
	{"link to an endpoint", false, 3, func(d *deployment, r *rand.Rand) { impairLink(d.randomEndpoint(r).callLink, r) }},
	{"link to an agent", false, 1, func(d *deployment, r *rand.Rand) { impairLink(d.randomEngine(r).controlLink, r) }},
	{"link to an entry", false, 1, func(d *deployment, r *rand.Rand) { impairLink(d.randomEntry(r).frontLink, r) }},
	{"connections reset", false, 2, func(d *deployment, r *rand.Rand) {
		for _, l := range []*link.Link{d.randomEndpoint(r).callLink, d.randomEngine(r).controlLink, d.randomEntry(r).frontLink, d.randomEntry(r).storeLink} {
			l.Reset()
		}
	}},
}

// maxFaultGapMilli limits the random time between the starts of two faults, in milliseconds.
const maxFaultGapMilli = 500

// randomFault returns a random kind of fault by weight.
func randomFault(r *rand.Rand) fault {
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

// randomDuration returns a random duration between two numbers of milliseconds.
func randomDuration(r *rand.Rand, minMilli, maxMilli int) time.Duration {
	return time.Duration(minMilli+r.IntN(maxMilli-minMilli)) * time.Millisecond
}

func (d *deployment) randomEntry(r *rand.Rand) *entry     { return d.entries[r.IntN(len(d.entries))] }
func (d *deployment) randomEngine(r *rand.Rand) *endpoint { return d.engines[r.IntN(len(d.engines))] }
func (d *deployment) randomEndpoint(r *rand.Rand) *endpoint {
	if r.IntN(3) == 0 {
		return d.plainEndpoints[r.IntN(len(d.plainEndpoints))]
	}
	return d.randomEngine(r)
}

// storeLinks returns links to the store: that of one random process or those of all processes.
func (d *deployment) storeLinks(r *rand.Rand) (list []*link.Link) {
	switch r.IntN(3) {
	case 0:
		return append(list, d.randomEntry(r).storeLink)
	case 1:
		return append(list, d.randomEngine(r).storeLink)
	}
	for _, e := range d.entries {
		list = append(list, e.storeLink)
	}
	for _, e := range d.engines {
		list = append(list, e.storeLink)
	}
	return list
}

// randomLinkFault returns a random fault of a link.
func randomLinkFault(r *rand.Rand) link.Fault {
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
	return link.Fault{Delay: randomDuration(r, 20, 600)}
}

// impairLink gives a link a fault for 100 ms to 4 s.
func impairLink(l *link.Link, r *rand.Rand) {
	l.Set(randomLinkFault(r))
	time.Sleep(randomDuration(r, 100, 4000))
	l.Set(link.Fault{})
}

// startProcess starts a process again; a failed start is recorded as a violation.
func (d *deployment) startProcess(p *process) {
	if err := p.start(); err != nil {
		d.judge.addViolation("processes", "%v", err)
	}
}

// stopAndStart stops a process by SIGTERM, as the platform does for planned work, and starts it again after up to 1.5 s.
func (d *deployment) stopAndStart(p *process, r *rand.Rand) {
	if number, ok := p.running(); ok {
		d.judge.processStopping(processIncarnation{p.host, number})
	}
	p.stop()
	time.Sleep(randomDuration(r, 50, 1500))
	d.startProcess(p)
}

// killAndStart kills a process and starts it again after up to 3 s.
func (d *deployment) killAndStart(p *process, r *rand.Rand) {
	p.kill()
	time.Sleep(randomDuration(r, 50, 3000))
	d.startProcess(p)
}

// killAndStartAll kills all matching processes at the same time and starts them again after up to 1.5 s.
func (d *deployment) killAndStartAll(match func(p *process) bool, r *rand.Rand) {
	var list []*process
	for _, e := range d.entries {
		list = append(list, e.process)
	}
	for _, e := range d.engines {
		list = append(list, e.agent)
	}
	wait := randomDuration(r, 50, 1500)
	for _, p := range list {
		if match(p) {
			p.kill()
			defer d.startProcess(p)
		}
	}
	time.Sleep(wait)
}

// restoreStore restores the store from a copy that is up to 4 s old, after a time without it. The operators then write again what was
// lost, and the endpoints do with their heartbeats.
func (d *deployment) restoreStore(r *rand.Rand) {
	copied := d.store.Snapshot()
	time.Sleep(randomDuration(r, 100, 4000))
	d.operatorMu.Lock()
	defer d.operatorMu.Unlock()
	d.store.SetDown(true)
	time.Sleep(randomDuration(r, 50, 1500))
	newest := d.store.Snapshot()
	defer d.judge.beginRestoration()()
	d.store.Restore(copied)
	d.store.SetDown(false)
	time.Sleep(randomDuration(r, 50, 1500))
	d.store.Rewrite(newest, "op/")
}

// reload rewrites the settings and notifies the process by SIGHUP.
func (d *deployment) reload(p *process) {
	if err := p.writeSettings(); err != nil {
		d.judge.addViolation("processes", "%v", err)
	}
	p.sendReload()
}

// pauseProcess pauses a process by SIGSTOP for 100 ms to 5 s.
func pauseProcess(p *process, r *rand.Rand) {
	p.signal(syscall.SIGSTOP, false)
	time.Sleep(randomDuration(r, 100, 5000))
	p.signal(syscall.SIGCONT, false)
}

// injectEndpointFaults gives an endpoint one to three faults, one after another.
func injectEndpointFaults(e *endpoint, r *rand.Rand) {
	for range 1 + r.IntN(3) {
		share := 0.1 + 0.7*r.Float64()
		e.SetFault([]standin.Fault{
			{Full: share}, {Fail: share}, {Lose: share}, {Break: share}, {Garble: share}, {Trail: share}, {Slow: randomDuration(r, 20, 300)},
			{Busy: share, RetryAfter: randomDuration(r, 100, 2000)}, {Endless: share / 4}, {Unframed: share},
		}[r.IntN(10)])
		time.Sleep(randomDuration(r, 300, 3000))
	}
	e.SetFault(standin.Fault{})
}

// crashAndRestart crashes an endpoint. It restarts with a clock that may have been set back, under a new id or its previous one.
func (d *deployment) crashAndRestart(e *endpoint, r *rand.Rand) {
	e.crash()
	time.Sleep(randomDuration(r, 50, 5000))
	e.SetClockOffset(randomDuration(r, -3_600_000, 60_000))
	d.startEndpoint(e, r.IntN(2) == 0)
}

// startEndpoint starts the next incarnation of an endpoint.
func (d *deployment) startEndpoint(e *endpoint, newID bool) {
	if newID {
		e.Remove()
	}
	if err := e.startServing(newID); err != nil {
		d.judge.addViolation("processes", "%v", err)
	}
}

// replaceEndpoint replaces an endpoint by a new one, as a release of its software does. An announced endpoint reports that it is
// leaving; otherwise its registration is removed at once.
func (d *deployment) replaceEndpoint(e *endpoint, r *rand.Rand, announced bool) {
	d.releaseEndpoint(e, r, announced, drainTimeout+randomDuration(r, 500, 4000))
}

// releaseEndpoint is replaceEndpoint for an endpoint that serves on for a time.
func (d *deployment) releaseEndpoint(e *endpoint, r *rand.Rand, announced bool, serveOn time.Duration) {
	e.mu.Lock()
	alive, incarnation := e.server != nil && !e.heartbeatPaused, e.incarnations
	e.heartbeatPaused = e.heartbeatPaused || alive
	e.mu.Unlock()
	if !alive {
		return
	}
	if announced {
		e.Drain()
	} else {
		e.Remove()
	}
	d.judge.endpointLeaving(e.ID())
	time.Sleep(serveOn)
	if e.incarnation() != incarnation {
		return // it has crashed meanwhile, and its successor is not leaving
	}
	e.Remove()
	if announced {
		time.Sleep(randomDuration(r, 0, 500))
	}
	if e.incarnation() == incarnation {
		e.crash()
	}
	time.Sleep(randomDuration(r, 100, 2000))
	d.startEndpoint(e, true)
}

// writeInvalidRegistration writes a registration that names no valid endpoint, as if by another writer, and removes it after up
// to 3 s.
func (d *deployment) writeInvalidRegistration(r *rand.Rand) {
	values := []string{
		"", "{", "[]", `{"service":"llm"}`, `{"service":7,"address":"127.0.0.1:9","slots":4,"state":"ready","born":1}`, "\xff\xfe",
		`{"service":"plain-0","address":"127.0.0.1:9","slots":4,"state":"asleep","born":1}`, `{"service":"plain-0","address":"nowhere","slots":4,"state":"ready"}`,
	}
	key := fmt.Sprint("foreign-", r.IntN(4))
	d.store.PutOtherProgramValue(key, []byte(values[r.IntN(len(values))]))
	time.Sleep(randomDuration(r, 100, 3000))
	d.store.PutOtherProgramValue(key, nil)
}

// configure writes the next configuration, which adds one route. Routes of the two newest configurations remain; the one before
// them is removed.
func (d *deployment) configure() {
	d.operatorMu.Lock()
	defer d.operatorMu.Unlock()
	version := d.configurationVersion.Load() + 1
	confirmed := d.judge.configurationWritten(version)
	routes := []standin.Route{
		{Prefix: "/g/", Kind: "streaming", Timeout: 5 * time.Second, LatencyGoal: time.Second, Engines: 1, Service: "llm"},
		{Prefix: "/o/", Kind: "non_idempotent", Timeout: 2 * time.Second, LatencyGoal: 150 * time.Millisecond, Engines: 1, Service: "plain-0"},
		{Prefix: "/r/", Kind: "idempotent", Timeout: 2 * time.Second, LatencyGoal: 150 * time.Millisecond, Engines: 3, Service: "plain-0"},
	}
	for v := max(1, version-1); v <= version; v++ {
		routes = append(routes, standin.Route{
			Prefix: fmt.Sprintf("/v%d/", v), Kind: "non_idempotent", Timeout: 2 * time.Second, LatencyGoal: 150 * time.Millisecond, Engines: 1, Service: fmt.Sprint("plain-", v%2),
		})
	}
	for i := range routes {
		routes[i].Host = hostName
	}
	d.store.Configure(version, routes, []standin.Service{{Name: "llm", Model: modelName, AdapterSlots: adapterSlots, BatchSize: batchSize}, {Name: "plain-0"}, {Name: "plain-1"}}, tenants(version)...)
	d.configurationVersion.Store(version)
	confirmed()
}

// declareVersion writes the next version of an adapter.
func (d *deployment) declareVersion(adapter int) {
	d.operatorMu.Lock()
	defer d.operatorMu.Unlock()
	name := fmt.Sprint("a", adapter)
	version := d.judge.nextVersion(name)
	d.store.Declare(modelName, name, int(version))
	d.judge.versionConfirmed(name, version)
}

// declareBaseVersion writes the next version of the base model, which engines have after their next start.
func (d *deployment) declareBaseVersion() {
	d.operatorMu.Lock()
	defer d.operatorMu.Unlock()
	version := d.judge.nextVersion(modelName)
	d.store.DeclareBase(modelName, int(version))
	d.judge.versionConfirmed(modelName, version)
}

// injectFaults alternates phases with all kinds of faults, phases in which engines crash on a part of prompts or on one request, phases in which endpoints name
// limits, and calm phases, until the duration has passed. Phases with such crashes and calm ones have planned faults only.
// It ends with a calm phase, in which the system must recover.
func (d *deployment) injectFaults(ctx context.Context, random *rand.Rand, duration time.Duration) (count int) {
	faultSlots := make(chan struct{}, d.options.Overlap)
	limited := rand.New(rand.NewPCG(d.options.Seed, 1<<33))
	repeated := rand.New(rand.NewPCG(d.options.Seed, 1<<34))
	poisoned := rand.New(rand.NewPCG(d.options.Seed, 1<<32))
	departing := rand.New(rand.NewPCG(d.options.Seed, 1<<35))
	revoking := rand.New(rand.NewPCG(d.options.Seed, 1<<37))
	for end := time.Now().Add(duration); time.Now().Before(end) && ctx.Err() == nil; {
		count += d.runPhase(ctx, random, faultSlots, time.Now().Add(randomDuration(random, 3000, 9000)), false)
		count += d.runPoisonPhase(ctx, poisoned, faultSlots)
		count += d.runRepeatPhase(ctx, repeated, faultSlots)
		count += d.runLimitPhase(ctx, limited, faultSlots)
		count += d.runDeparturePhase(ctx, departing, faultSlots)
		count += d.runRevokePhase(ctx, revoking)
		count += d.runPhase(ctx, random, faultSlots, time.Now().Add(quietPeriod+randomDuration(random, 3000, 8000)), true)
	}
	return count
}

// runPhase starts random faults one after another until end, in a calm phase only planned ones, and waits until all have ended.
// The capacity of faultSlots limits the faults that are active at the same time.
func (d *deployment) runPhase(ctx context.Context, random *rand.Rand, faultSlots chan struct{}, end time.Time, calm bool) (count int) {
	for ctx.Err() == nil && time.Now().Before(end) {
		f := randomFault(random)
		seed := rand.NewPCG(random.Uint64(), random.Uint64())
		gap := randomDuration(random, 0, maxFaultGapMilli)
		if f.planned || !calm {
			count++
			faultSlots <- struct{}{}
			go func() {
				defer func() { <-faultSlots }()
				d.injectFault(f, rand.New(seed))
			}()
		}
		time.Sleep(gap)
	}
	for range cap(faultSlots) {
		faultSlots <- struct{}{}
	}
	for range cap(faultSlots) {
		<-faultSlots
	}
	return count
}

func (d *deployment) injectFault(f fault, r *rand.Rand) {
	if !f.planned {
		defer d.judge.beginFault()()
	}
	startTime := time.Now()
	f.run(d, r)
	d.judge.printEvent(fmt.Sprintf("%s %s for %s", startTime.Format("05.000"), f.name, time.Since(startTime).Round(time.Millisecond)))
}
