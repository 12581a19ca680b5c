package gate

import (
	"slices"
	"strings"
	"time"

	"shallotring.dev/state/ident"
	"shallotring.dev/state/outcome"
	"shallotring.dev/state/slots"
)

// maxPreviousStartIDs bounds the remembered start ids of previous engine processes.
const maxPreviousStartIDs = 16

// maxFailedSurveys is the number of failed surveys in a row from which on tries are refused, so that entries send them to
// other endpoints.
const maxFailedSurveys = 2

// maxSurveyDuration bounds the duration of a survey whose list of adapters corrects the gate's view: an agent that was paused
// between its two reads has a list of requests from before the pause and a list of adapters from after it.
const maxSurveyDuration = 2 * time.Second

// surveyState is the state of the last survey. The view of the engine is compared with the surveyed list of adapters only if
// viewVersion is still that of the gate.
type surveyState struct {
	number      uint64
	started     time.Time
	inFlight    bool
	nextAt      time.Time
	viewVersion uint64
}

// planSurvey sends a survey when it is due and none is in flight. The first survey after a reset of the view waits until no
// load or unload is in flight.
func (g *Gate) planSurvey() {
	if g.survey.inFlight || (!g.synced && len(g.orders) > 0) {
		return
	}
	if g.now.Before(g.survey.nextAt) {
		g.wakeBy(g.survey.nextAt)
		return
	}
	g.lastNumber++
	g.survey = surveyState{number: g.lastNumber, started: g.now, inFlight: true, viewVersion: g.viewVersion}
	g.emit(Survey{Number: g.lastNumber, Incarnation: g.Incarnation, Fence: !g.synced && g.ChecksFencing})
}

func (g *Gate) applySurvey(s Surveyed) {
	if s.Number != g.survey.number || !g.survey.inFlight {
		return
	}
	g.survey.inFlight = false
	g.survey.nextAt = g.now.Add(g.SurveyInterval)
	if s.Failed {
		g.failedSurveys++
		if g.engineDown() {
			g.returnWaiting(outcome.EngineDown, func(*try) bool { return true })
		}
		return
	}
	g.failedSurveys = 0
	g.observeStartID(s.StartID)
	if g.survey.number != s.Number { // a restart of the engine was detected, which resets the survey
		return
	}
	g.startID = s.StartID
	if !g.synced {
		g.adoptEngineState(s)
		return
	}
	g.releaseAdopted(s.Running)
	g.markReached(s.Running)
	g.releaseUnresolved(g.survey.started, s.Running)
	shortEnough := g.now.Sub(g.survey.started) <= maxSurveyDuration
	if shortEnough && g.survey.viewVersion == g.viewVersion && len(g.orders) == 0 {
		g.reconcileAdapters(s)
	}
}

// engineDown reports whether the last maxFailedSurveys surveys have failed.
func (g *Gate) engineDown() bool { return g.failedSurveys >= maxFailedSurveys }

// observeStartID detects a restart of the engine from the start id in one of its responses.
func (g *Gate) observeStartID(id ident.StartID) {
	if g.startID == "" || id == "" || id == g.startID || slices.Contains(g.previousStartIDs, id) {
		return
	}
	g.engineRestarted(id)
}

// engineRestarted finishes the tries that ran at the previous engine process and resets the view of the engine.
func (g *Gate) engineRestarted(id ident.StartID) {
	// A response of a previous process can arrive late and must not look like another restart.
	g.previousStartIDs = append(g.previousStartIDs, g.startID)
	if len(g.previousStartIDs) > maxPreviousStartIDs {
		g.previousStartIDs = g.previousStartIDs[1:]
	}
	g.startID = id
	g.emit(Restarted{StartID: id})
	for _, t := range g.runningTries() {
		g.interruptTry(t, "the engine has restarted")
	}
	clear(g.adopted)
	g.resetEngineView()
}

// interruptTry finishes a running try as unknown without waiting for the endpoint, because it may have run.
func (g *Gate) interruptTry(t *try, detail string) {
	g.releaseRunning(t, outcome.Unknown)
	g.emit(Cancel{ID: t.ID, Incarnation: g.Incarnation})
	g.emit(Finish{ID: t.ID, Outcome: outcome.Unknown, Detail: detail})
}

// resetEngineView drops the view of the engine; the next survey builds it again.
func (g *Gate) resetEngineView() {
	if g.Service {
		return
	}
	for _, o := range g.orders {
		o.stale = true
	}
	g.slots.Reset()
	clear(g.unresolvedTries)
	clear(g.adapters)
	g.synced = false
	g.viewVersion++
	g.survey = surveyState{}
}

// adoptEngineState replaces the view by the state that the engine reports and pins the adapters of all running requests.
func (g *Gate) adoptEngineState(s Surveyed) {
	g.synced = true
	for _, m := range s.Adapters {
		g.adoptLoad(m.Adapter, m.Digest)
		g.slots.Loaded(g.now, m.Adapter)
		g.queue.Loaded(g.now, m.Adapter)
		g.adapterRecord(m.Adapter).digest = m.Digest
	}
	own := make(map[string]bool)
	for _, t := range g.runningTries() {
		own[engineRequestID(t.ID)] = true
		if !g.slots.Acquire(g.now, t.Adapter) {
			g.interruptTry(t, "another agent has evicted the adapter")
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
			g.emit(CancelRequest{ID: r.ID, Incarnation: g.Incarnation})
		}
	}
}

// releaseAdopted unpins the adapters of a previous agent's requests that the engine no longer runs.
func (g *Gate) releaseAdopted(list []Request) {
	for id, av := range g.adopted {
		if slices.ContainsFunc(list, func(r Request) bool { return r.ID == id }) {
			continue
		}
		delete(g.adopted, id)
		g.slots.Release(g.now, av)
	}
}

// reconcileAdapters corrects the view where the engine lists adapters that this gate did not load, or lacks resident ones.
func (g *Gate) reconcileAdapters(s Surveyed) {
	listed := make(map[ident.AdapterVersion]bool)
	for _, m := range s.Adapters {
		listed[m.Adapter] = true
		g.adoptLoad(m.Adapter, m.Digest)
		a := g.adapterRecord(m.Adapter)
		a.digest = m.Digest
		if g.slots.State(m.Adapter) == slots.Absent {
			g.slots.Loaded(g.now, m.Adapter)
			g.queue.Loaded(g.now, m.Adapter)
			// A delayed load has taken effect. A delayed unload may still remove the adapter, so it must not be used and is evicted.
			if g.now.Before(a.quarantineUntil) {
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
		g.dropLostAdapter(av, s.Running)
	}
}

// dropLostAdapter drops an adapter that the engine no longer lists. A successor of this agent may have evicted it after its last
// request finished, and this gate may not have received the end of that request yet. Therefore only a request that the engine
// still runs proves that the adapter was evicted while in use.
func (g *Gate) dropLostAdapter(av ident.AdapterVersion, running []Request) {
	if slices.ContainsFunc(running, func(r Request) bool { return r.Adapter == av }) {
		g.reportViolation(Violation{Guarantee: G2, Adapter: av, Detail: "the engine no longer lists an adapter in use"})
		return
	}
	for id, u := range g.unresolvedTries {
		if u.adapter == av {
			delete(g.unresolvedTries, id)
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
