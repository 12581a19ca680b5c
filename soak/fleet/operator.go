package fleet

import (
	"fmt"
	"slices"
	"time"

	"shallotring.dev/soak/backend"
	"shallotring.dev/soak/store"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/resource"
)

const (
	inForceTimeout         = 2 * time.Second
	acceptancePollInterval = 500 * time.Millisecond
	acceptanceTimeout      = 60 * time.Second
	// leaveReactionTime is the time after which an agent must have reacted once its endpoint is marked as leaving and the
	// change is accepted, which means in force at all live processes.
	leaveReactionTime = time.Second
)

// operator changes resources as the editor in coordination/configuration does, and waits until each change is accepted.
type operator struct {
	process
}

func newOperator(f *Fleet, n int) *operator {
	o := &operator{}
	o.fleet, o.id = f, ident.Process(fmt.Sprintf("operator-%d", n))
	return o
}

func configKey(n resource.Name) string { return fmt.Sprintf("%s%02x", configPrefix, n.Shard()) }

// edit changes one resource by compare-and-swap; change gets the current resource and returns the new one.
func (o *operator) edit(n resource.Name, change func(r any) (next any, ok bool)) {
	f := o.fleet
	var r store.Record
	var found bool
	o.callStore(storeTimeout, func() { r, found = f.store.Get(configKey(n)) }, func(s store.Status) {
		if s != store.Answered || !found {
			return
		}
		sh, err := resource.DecodeShard(n.Shard(), r.Value)
		if err != nil {
			panic(err)
		}
		current, _ := sh.Get(n)
		next, ok := change(current)
		if !ok {
			return
		}
		f.lastSerial++
		sh.RecordRevisions(n, r.Revision)
		sh.WriteID = fmt.Sprintf("%s-%d", o.id, f.lastSerial)
		sh.Put(next)
		value, err := sh.Encode()
		if err != nil {
			panic(err)
		}
		// The time between reading and writing lets another operator write first.
		o.runAfter(f.clock.Between(0, 100*time.Millisecond), func() { o.write(n, r.Revision, sh.WriteID, value) })
	})
}

func (o *operator) write(n resource.Name, expect ident.Revision, id string, value []byte) {
	var at ident.Revision
	var ok bool
	o.callStore(storeTimeout, func() { at, ok = o.fleet.store.Swap(configKey(n), expect, value, 0) }, func(s store.Status) {
		switch {
		case s == store.Answered && ok:
			o.handleWritten(n, at)
		case s == store.Lost:
			o.readBack(n, expect, id)
		default:
			o.fleet.logEvent(n.String(), "%s: the write failed: conflict with the expected revision %d, or the service is unavailable", o.id, expect)
		}
	})
}

// readBack reads the shard to find out whether a write whose response was lost took effect.
func (o *operator) readBack(n resource.Name, expect ident.Revision, id string) {
	var r store.Record
	o.callStore(storeTimeout, func() { r, _ = o.fleet.store.Get(configKey(n)) }, func(s store.Status) {
		if s != store.Answered || r.Revision == expect {
			o.runAfter(acceptancePollInterval, func() { o.readBack(n, expect, id) })
			return
		}
		if sh, err := resource.DecodeShard(n.Shard(), r.Value); err == nil && sh.WriteID == id {
			o.handleWritten(n, r.Revision)
		}
	})
}

func (o *operator) handleWritten(n resource.Name, at ident.Revision) {
	o.fleet.logEvent(n.String(), "%s wrote revision %d", o.id, at)
	o.waitForAccepted(n, at, o.fleet.clock.Now().Add(acceptanceTimeout))
}

// waitForAccepted polls the listed processes until each has the revision in force.
func (o *operator) waitForAccepted(n resource.Name, at ident.Revision, until time.Time) {
	f := o.fleet
	if !f.clock.Now().Before(until) {
		return
	}
	var list []store.Record
	o.callStore(storeTimeout, func() { list = f.store.List(presencePrefix) }, func(s store.Status) {
		if s != store.Answered {
			o.runAfter(acceptancePollInterval, func() { o.waitForAccepted(n, at, until) })
			return
		}
		o.queryGenerations(list, at, func(ok bool) {
			if !ok || len(list) == 0 {
				o.runAfter(acceptancePollInterval, func() { o.waitForAccepted(n, at, until) })
				return
			}
			f.logEvent(n.String(), "revision %d is accepted", at)
			f.judge.ChangeAccepted(n.Shard(), at, f.shardRevisions(n.Shard()))
			if n.Kind == resource.KindEndpoint {
				f.clock.After(leaveReactionTime, func() { f.markLeaving(n) })
			}
		})
	})
}

// markLeaving reports to the judge the agents that must drain because their endpoint is leaving, if the configuration still
// says so. A paused agent is left out: when it resumes, the endpoint may no longer be leaving.
func (f *Fleet) markLeaving(n resource.Name) {
	r, _ := f.store.Get(configKey(n))
	sh, err := resource.DecodeShard(n.Shard(), r.Value)
	if err != nil {
		panic(err)
	}
	x, _ := sh.Get(n)
	if e, ok := x.(*resource.Endpoint); !ok || !e.Leaving {
		return
	}
	for _, s := range f.endpoints {
		for _, a := range f.liveAgents(s) {
			if string(s.name) == n.Name && a.gate != nil && !a.paused() {
				f.judge.AgentLeaving(a.id)
			}
		}
	}
}

func (o *operator) queryGenerations(list []store.Record, at ident.Revision, done func(ok bool)) {
	f := o.fleet
	remaining, allInForce := len(list), true
	for _, r := range list {
		p := f.processByID(ident.Process(r.Key[len(presencePrefix):]))
		f.call(&o.process, p, inForceTimeout, func(reply func(any)) { reply(p.reportedGeneration()) }, func(response any, s callStatus) {
			allInForce = allInForce && s == callAnswered && response.(ident.Revision) >= at
			if remaining--; remaining == 0 {
				done(allInForce)
			}
		})
	}
}

// reportedGeneration returns the generation that a process reports as in force.
func (p *process) reportedGeneration() ident.Revision {
	if p.fleet.options.Without == Generation {
		return p.resources.Generation()
	}
	return p.generation
}

// shardRevisions returns the revision of a shard at each live process whose presence key exists and that has read the
// configuration since it wrote the key. A process without the key when the operator lists the processes still has to read
// the configuration.
func (f *Fleet) shardRevisions(shard int) map[ident.Process]ident.Revision {
	revisions := make(map[ident.Process]ident.Revision)
	for _, p := range f.processes {
		if _, listed := f.store.Get(p.presenceKey()); listed && !p.exited && p.configured {
			_, revisions[p.id] = p.resources.Shard(shard)
		}
	}
	return revisions
}

// changeAdapter replaces the weights of a version of an adapter, or adds a version and removes the oldest of more than three.
func (f *Fleet) changeAdapter(o *operator, name ident.Adapter) {
	n := resource.Name{Kind: resource.KindAdapter, Name: string(name)}
	o.edit(n, func(r any) (any, bool) {
		a, ok := r.(*resource.Adapter)
		if !ok {
			return nil, false
		}
		next := *a
		next.Versions = slices.Clone(a.Versions)
		f.lastSerial++
		path := fmt.Sprintf("%s/%d", name, f.lastSerial)
		if f.clock.Chance(500) {
			i := f.clock.Random().IntN(len(next.Versions))
			next.Versions[i].Path, next.Versions[i].Digest = path, backend.Digest(path)
			return &next, true
		}
		v := ident.Version(fmt.Sprintf("v%d", f.lastSerial))
		next.Versions = append(next.Versions, resource.AdapterVersion{Version: v, Path: path, Digest: backend.Digest(path)})
		if len(next.Versions) > 3 {
			next.Versions = next.Versions[1:]
		}
		next.Default = v
		return &next, true
	})
}

// changeEndpoint sets whether an endpoint is leaving, a random batch size and, for an engine, a random number of slots.
func (f *Fleet) changeEndpoint(o *operator, name ident.Endpoint, leaving bool) {
	n := resource.Name{Kind: resource.KindEndpoint, Name: string(name)}
	o.edit(n, func(r any) (any, bool) {
		e, ok := r.(*resource.Endpoint)
		if !ok {
			return nil, false
		}
		next := *e
		next.Leaving, next.BatchSize = leaving, 2+f.clock.Random().IntN(5)
		if next.Kind == resource.Engine {
			next.Slots = 1 + f.clock.Random().IntN(engineSlots)
		}
		return &next, true
	})
}

// storeResource stores an initial resource.
func (f *Fleet) storeResource(r any) {
	n, _ := resource.NameOf(r)
	sh := &resource.Shard{}
	old, found := f.store.Get(configKey(n))
	if found {
		var err error
		if sh, err = resource.DecodeShard(n.Shard(), old.Value); err != nil {
			panic(err)
		}
		sh.RecordRevisions(n, old.Revision)
	}
	sh.WriteID = "seed-" + n.String()
	sh.Put(r)
	if err := resource.Validate(r); err != nil {
		panic(err)
	}
	value, err := sh.Encode()
	if err != nil {
		panic(err)
	}
	f.store.Swap(configKey(n), old.Revision, value, 0)
}
