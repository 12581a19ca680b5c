package gate

import (
	"slices"
	"strings"
	"time"

	"shallotring.dev/state/ident"
	"shallotring.dev/state/outcome"
	"shallotring.dev/state/slots"
)

// maxFormerIDs bounds the start ids of former processes of the engine that are remembered.
const maxFormerIDs = 16

// maxSilent is the number of surveys without an answer after which tries are sent to other endpoints.
const maxSilent = 2

// maxSurvey bounds the time between the two lists of a survey that are compared: an agent that was paused between them
// has a list of requests from before the pause and a list of adapters from after it.
const maxSurvey = 2 * time.Second

type surveyState struct {
	number  uint64
	started time.Time
	flying  bool
	due     time.Time
	changes uint64
}

// planSurvey keeps one survey in flight at a time. A view that is built anew waits for the loads and unloads in flight.
func (g *Gate) planSurvey() {
	if g.survey.flying || (!g.synced && len(g.orders) > 0) {
		return
	}
	if g.now.Before(g.survey.due) {
		g.wake(g.survey.due)
		return
	}
	g.number++
	g.survey = surveyState{number: g.number, started: g.now, flying: true, changes: g.changes}
	g.emit(Survey{Number: g.number, Fence: !g.synced && g.ChecksFencing})
}

func (g *Gate) surveyed(s Surveyed) {
	if s.Number != g.survey.number || !g.survey.flying {
		return
	}
	g.survey.flying = false
	g.survey.due = g.now.Add(g.SurveyEvery)
	if s.Failed {
		g.silent++
		if g.down() {
			g.returnWaiting(outcome.EngineDown, func(*try) bool { return true })
		}
		return
	}
	g.silent = 0
	g.observed(s.StartID)
	if g.survey.number != s.Number {
		return
	}
	g.startID = s.StartID
	if !g.synced {
		g.adopt(s)
		return
	}
	g.releaseAdopted(s.Running)
	g.markReached(s.Running)
	g.releaseLingering(g.survey.started, s.Running)
	fresh := g.now.Sub(g.survey.started) <= maxSurvey
	if fresh && g.survey.changes == g.changes && len(g.orders) == 0 {
		g.compare(s)
	}
}

// down reports whether the engine has failed to answer more than once in a row.
func (g *Gate) down() bool { return g.silent >= maxSilent }

// observed reacts to the start id in any answer of the engine.
func (g *Gate) observed(id ident.StartID) {
	if g.startID == "" || id == "" || id == g.startID || slices.Contains(g.formerIDs, id) {
		return
	}
	g.restarted(id)
}

// restarted ends everything that the old process of the engine held.
func (g *Gate) restarted(id ident.StartID) {
	// An answer of a former process can arrive late and must not look like one more restart.
	g.formerIDs = append(g.formerIDs, g.startID)
	if len(g.formerIDs) > maxFormerIDs {
		g.formerIDs = g.formerIDs[1:]
	}
	g.startID = id
	g.emit(Restarted{StartID: id})
	for _, t := range g.runningTries() {
		g.interrupt(t, "the engine has restarted")
	}
	clear(g.adopted)
	g.forgetEngine()
}

// interrupt ends a running try without waiting for the endpoint; it may have run.
func (g *Gate) interrupt(t *try, detail string) {
	g.stopRunning(t, outcome.Unknown)
	g.emit(Cancel{ID: t.ID})
	g.emit(Finish{ID: t.ID, Outcome: outcome.Unknown, Detail: detail})
}

// forgetEngine drops the view of the engine until the next survey.
func (g *Gate) forgetEngine() {
	if g.Service {
		return
	}
	for _, o := range g.orders {
		o.stale = true
	}
	g.slots.Reset()
	clear(g.lingering)
	clear(g.adapters)
	g.synced = false
	g.changes++
	g.survey = surveyState{}
}

// adopt takes the engine's own view as the truth and pins the adapters of all running requests.
func (g *Gate) adopt(s Surveyed) {
	g.synced = true
	for _, m := range s.Models {
		g.slots.Loaded(g.now, m.Adapter)
		g.queue.Loaded(g.now, m.Adapter)
		g.record(m.Adapter).digest = m.Digest
	}
	own := make(map[string]bool)
	for _, t := range g.runningTries() {
		own[requestName(t.ID)] = true
		if !g.slots.Acquire(g.now, t.Adapter) {
			g.interrupt(t, "another agent has evicted the adapter")
		}
	}
	clear(g.adopted)
	for _, r := range s.Running {
		if own[r.ID] {
			continue
		}
		g.adopted[r.ID] = r.Adapter
		g.slots.Acquire(g.now, r.Adapter)
		if !g.ChecksFencing {
			g.emit(CancelRequest{ID: r.ID})
		}
	}
}

// releaseAdopted unpins the adapters of adopted requests that the engine no longer runs.
func (g *Gate) releaseAdopted(list []Request) {
	for id, av := range g.adopted {
		if slices.ContainsFunc(list, func(r Request) bool { return r.ID == id }) {
			continue
		}
		delete(g.adopted, id)
		g.slots.Release(g.now, av)
	}
}

// compare corrects the view where adapters came or went without a command of this gate.
func (g *Gate) compare(s Surveyed) {
	listed := make(map[ident.AdapterVersion]bool)
	for _, m := range s.Models {
		listed[m.Adapter] = true
		a := g.record(m.Adapter)
		a.digest = m.Digest
		if g.slots.State(m.Adapter) == slots.Absent {
			g.slots.Loaded(g.now, m.Adapter)
			g.queue.Loaded(g.now, m.Adapter)
			// A delayed load has taken effect; a delayed unload of the same adapter may follow it.
			if g.now.Before(a.quarantine) {
				g.evict(m.Adapter)
			}
		}
	}
	var lost []ident.AdapterVersion
	g.slots.Each(func(av ident.AdapterVersion, s slots.State, _ int) {
		if s == slots.Resident && !listed[av] {
			lost = append(lost, av)
		}
	})
	sortAdapters(lost)
	for _, av := range lost {
		g.lost(av, s.Running)
	}
}

// lost drops an adapter that the engine no longer lists. A successor of this agent may have evicted it after the end of
// a request whose end has not been reported here yet; only a request that the engine still runs proves an eviction in use.
func (g *Gate) lost(av ident.AdapterVersion, running []Request) {
	if slices.ContainsFunc(running, func(r Request) bool { return r.Adapter == av }) {
		g.violate(Violation{Guarantee: G2, Adapter: av, Detail: "the engine no longer lists an adapter in use"})
		return
	}
	for name, l := range g.lingering {
		if l.adapter == av {
			delete(g.lingering, name)
			g.slots.Release(g.now, av)
		}
	}
	if g.slots.InUse(av) > 0 {
		return
	}
	g.slots.Drop(av)
	delete(g.adapters, av)
}

func sortAdapters(list []ident.AdapterVersion) {
	slices.SortFunc(list, func(a, b ident.AdapterVersion) int { return strings.Compare(a.String(), b.String()) })
}
