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
	inForceCall   = 2 * time.Second
	awaitInterval = 500 * time.Millisecond
	awaitLimit    = 60 * time.Second
	// leaveNotice is the time after which an agent must have acted on a leaving endpoint that reads accepted.
	leaveNotice = time.Second
)

// operator changes resources as coordination/configuration's editor does and awaits that the change reads accepted.
type operator struct {
	process
}

func newOperator(f *Fleet, n int) *operator {
	o := &operator{}
	o.fleet, o.id = f, ident.Process(fmt.Sprintf("operator-%d", n))
	return o
}

func configKey(n resource.Name) string { return fmt.Sprintf("%s%02x", configPrefix, n.Shard()) }

// edit changes one resource by compare-and-swap; change gets a copy of it.
func (o *operator) edit(n resource.Name, change func(r any) (next any, ok bool)) {
	f := o.fleet
	var r store.Record
	var found bool
	o.call(storeCall, func() { r, found = f.store.Get(configKey(n)) }, func(s store.Status) {
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
		f.serial++
		sh.RecordRevisions(n, r.Revision)
		sh.WriteID = fmt.Sprintf("%s-%d", o.id, f.serial)
		sh.Put(next)
		value, err := sh.Encode()
		if err != nil {
			panic(err)
		}
		// The operator thinks between reading and writing, which lets another operator write first.
		o.later(f.clock.Between(0, 100*time.Millisecond), func() { o.write(n, r.Revision, sh.WriteID, value) })
	})
}

func (o *operator) write(n resource.Name, expect ident.Revision, id string, value []byte) {
	var at ident.Revision
	var ok bool
	o.call(storeCall, func() { at, ok = o.fleet.store.Swap(configKey(n), expect, value, 0) }, func(s store.Status) {
		switch {
		case s == store.Answered && ok:
			o.wrote(n, at)
		case s == store.Lost:
			o.readBack(n, expect, id)
		default:
			o.fleet.note(n.String(), "%s: conflict or refusal at revision %d", o.id, expect)
		}
	})
}

// readBack settles a write whose answer was lost.
func (o *operator) readBack(n resource.Name, expect ident.Revision, id string) {
	var r store.Record
	o.call(storeCall, func() { r, _ = o.fleet.store.Get(configKey(n)) }, func(s store.Status) {
		if s != store.Answered || r.Revision == expect {
			o.later(awaitInterval, func() { o.readBack(n, expect, id) })
			return
		}
		if sh, err := resource.DecodeShard(n.Shard(), r.Value); err == nil && sh.WriteID == id {
			o.wrote(n, r.Revision)
		}
	})
}

func (o *operator) wrote(n resource.Name, at ident.Revision) {
	o.fleet.note(n.String(), "%s wrote revision %d", o.id, at)
	o.await(n, at, o.fleet.clock.Now().Add(awaitLimit))
}

// await asks the live processes until each has the revision in force.
func (o *operator) await(n resource.Name, at ident.Revision, until time.Time) {
	f := o.fleet
	if !f.clock.Now().Before(until) {
		return
	}
	var list []store.Record
	o.call(storeCall, func() { list = f.store.List(presencePrefix) }, func(s store.Status) {
		if s != store.Answered {
			o.later(awaitInterval, func() { o.await(n, at, until) })
			return
		}
		o.ask(list, at, func(ok bool) {
			if !ok || len(list) == 0 {
				o.later(awaitInterval, func() { o.await(n, at, until) })
				return
			}
			f.note(n.String(), "revision %d is accepted", at)
			f.judge.Accepted(n.Shard(), at, f.liveShards(n.Shard()))
			if n.Kind == resource.KindEndpoint {
				f.clock.After(leaveNotice, func() { f.markLeaving(n) })
			}
		})
	})
}

// markLeaving tells the judge which agents are to leave by the accepted configuration, if it still says so. An agent that
// is paused may learn only after waking, when the endpoint has been taken back.
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
	for _, s := range f.sites {
		for _, a := range f.liveAgents(s) {
			if string(s.name) == n.Name && a.gate != nil && !a.paused() {
				f.judge.Leaving(a.id)
			}
		}
	}
}

func (o *operator) ask(list []store.Record, at ident.Revision, done func(ok bool)) {
	f := o.fleet
	open, all := len(list), true
	for _, r := range list {
		p := f.processOf(ident.Process(r.Key[len(presencePrefix):]))
		f.call(&o.process, p, inForceCall, func(reply func(any)) { reply(p.inForce()) }, func(answer any, s callStatus) {
			all = all && s == answered && answer.(ident.Revision) >= at
			if open--; open == 0 {
				done(all)
			}
		})
	}
}

// inForce is the generation that a process reports.
func (p *process) inForce() ident.Revision {
	if p.fleet.options.Without == Generation {
		return p.set.Generation()
	}
	return p.generation
}

// liveShards returns the revision of a shard at each process that is alive, listed and has read the configuration since
// it was listed; one that was not listed before an operator's look may be about to read it.
func (f *Fleet) liveShards(shard int) map[ident.Process]ident.Revision {
	m := make(map[ident.Process]ident.Revision)
	for _, p := range f.processes {
		if _, listed := f.store.Get(p.presence()); listed && !p.dead && p.configured {
			_, m[p.id] = p.set.Shard(shard)
		}
	}
	return m
}

// changeAdapter adds a version, replaces the weights of one under the same name, or removes one.
func (f *Fleet) changeAdapter(o *operator, name ident.Adapter) {
	n := resource.Name{Kind: resource.KindAdapter, Name: string(name)}
	o.edit(n, func(r any) (any, bool) {
		a, ok := r.(*resource.Adapter)
		if !ok {
			return nil, false
		}
		next := *a
		next.Versions = slices.Clone(a.Versions)
		f.serial++
		path := fmt.Sprintf("%s/%d", name, f.serial)
		if f.clock.Chance(500) {
			i := f.clock.Random().IntN(len(next.Versions))
			next.Versions[i].Path, next.Versions[i].Digest = path, backend.Digest(path)
			return &next, true
		}
		v := ident.Version(fmt.Sprintf("v%d", f.serial))
		next.Versions = append(next.Versions, resource.AdapterVersion{Version: v, Path: path, Digest: backend.Digest(path)})
		if len(next.Versions) > 3 {
			next.Versions = next.Versions[1:]
		}
		next.Default = v
		return &next, true
	})
}

// changeEndpoint sets whether an endpoint leaves, and its batch size.
func (f *Fleet) changeEndpoint(o *operator, name ident.Endpoint, leaving bool) {
	n := resource.Name{Kind: resource.KindEndpoint, Name: string(name)}
	o.edit(n, func(r any) (any, bool) {
		e, ok := r.(*resource.Endpoint)
		if !ok {
			return nil, false
		}
		next := *e
		next.Leaving, next.BatchSize = leaving, 2+f.clock.Random().IntN(5)
		return &next, true
	})
}

func (f *Fleet) seed(r any) {
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
