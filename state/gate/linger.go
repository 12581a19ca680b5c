package gate

import (
	"time"

	"shallotring.dev/state/ident"
)

// linger is a try that has ended as unknown here although the engine may still run it, or may still receive it from a
// broken connection. Its adapter stays pinned until a list that was read after clear no longer names the try.
type linger struct {
	adapter ident.AdapterVersion
	clear   time.Time
}

// linger pins the adapter of a try that ends as unknown. A request that has not reached the engine yet is waited for as
// long as a delayed unload, because it would run on whatever weights have the adapter's name by then.
func (g *Gate) linger(t *try, reached bool) {
	if g.Service || !g.slots.Acquire(g.now, t.Adapter) {
		return
	}
	l := linger{adapter: t.Adapter, clear: g.now}
	if !reached && !t.reached {
		l.clear = g.now.Add(g.Quarantine)
	}
	g.lingering[requestName(t.ID)] = l
}

// markReached records which tries the engine has certainly received.
func (g *Gate) markReached(list []Request) {
	listed := listedNames(list)
	for _, t := range g.active {
		t.reached = t.reached || listed[requestName(t.ID)]
	}
	for name, l := range g.lingering {
		if listed[name] && g.now.Before(l.clear) {
			l.clear = g.now
			g.lingering[name] = l
		}
	}
}

// releaseLingering unpins the adapters of ended tries that a list read at the given time does not name.
func (g *Gate) releaseLingering(read time.Time, list []Request) {
	listed := listedNames(list)
	for name, l := range g.lingering {
		if listed[name] || read.Before(l.clear) {
			continue
		}
		delete(g.lingering, name)
		g.slots.Release(g.now, l.adapter)
	}
}

func listedNames(list []Request) map[string]bool {
	m := make(map[string]bool, len(list))
	for _, r := range list {
		m[r.ID] = true
	}
	return m
}
