package gate

import (
	"time"

	"shallotring.dev/state/ident"
)

// unresolvedTry is a try that finished with an unknown outcome although the engine may still run it, or may still receive it
// from a failed connection. Its adapter stays pinned until a list that was read at releaseAfter or later no longer has the try.
type unresolvedTry struct {
	adapter      ident.AdapterVersion
	releaseAfter time.Time
}

// pinUnresolved pins the adapter of a try that finishes with an unknown outcome. If the engine may not have received the
// request yet, the pin lasts at least for QuarantineDuration: the request could arrive late and would then run on whatever
// weights have the adapter's name.
func (g *Gate) pinUnresolved(t *try, reached bool) {
	if g.Service || !g.slots.Acquire(g.now, t.Adapter) {
		return
	}
	u := unresolvedTry{adapter: t.Adapter, releaseAfter: g.now}
	if !reached && !t.reached {
		u.releaseAfter = g.now.Add(g.QuarantineDuration)
	}
	g.unresolvedTries[engineRequestID(t.ID)] = u
}

// markReached records which tries the engine has certainly received.
func (g *Gate) markReached(list []Request) {
	listed := listedIDs(list)
	for _, t := range g.active {
		t.reached = t.reached || listed[engineRequestID(t.ID)]
	}
	for id, u := range g.unresolvedTries {
		if listed[id] && g.now.Before(u.releaseAfter) {
			u.releaseAfter = g.now
			g.unresolvedTries[id] = u
		}
	}
}

// releaseUnresolved unpins the adapters of unresolved tries that are missing from a list read at the given time.
func (g *Gate) releaseUnresolved(readAt time.Time, list []Request) {
	listed := listedIDs(list)
	for id, u := range g.unresolvedTries {
		if listed[id] || readAt.Before(u.releaseAfter) {
			continue
		}
		delete(g.unresolvedTries, id)
		g.slots.Release(g.now, u.adapter)
	}
}

func listedIDs(list []Request) map[string]bool {
	m := make(map[string]bool, len(list))
	for _, r := range list {
		m[r.ID] = true
	}
	return m
}
