package quarantine

import (
	"cmp"
	"slices"
	"time"

	"shallotring.dev/state/blame"
	"shallotring.dev/state/call"
	"shallotring.dev/state/ident"
)

const (
	// crashExpiry and maxCrashes bound the crashes that are remembered, maxParts the parts in quarantine.
	crashExpiry = 10 * time.Minute
	maxCrashes  = 128
	maxParts    = 256
	// firstDuration is the duration of the first quarantine of a part; each further one is twice as long, up to maxDuration.
	firstDuration = 30 * time.Minute
	maxDuration   = 24 * time.Hour
)

// Entry is a part in quarantine with the evidence against it.
type Entry struct {
	Part call.PartID
	// Since and Until bound the quarantine.
	Since, Until time.Time
	// Incidents is the number of crashes with the part, Of that of those that no other part explains; Share is the share of the time for which
	// an engine has the part.
	Incidents, Of int
	Share         float64
	// Evidence is the logarithm of the ratio of the likelihoods of what was observed, if the part causes crashes and if it does not.
	Evidence float64
	Probation
}

// Change is a part that was quarantined, or released because others explain the crashes or engines survive it.
type Change struct {
	Entry
	Released bool
}

// incarnation is one that crashed, with what is known of it.
type incarnation struct {
	endpoint           ident.Endpoint
	startMilli         int64
	at                 time.Time
	requests, suspects int
}

// List has the crashes that are known to one entry and the parts in quarantine. It is not safe for concurrent use.
type List struct {
	crashes  []incarnation
	accounts map[ident.Service]*blame.Account[call.PartID]
	parts    map[call.PartID]Entry
	// lifted has the time at which the quarantine of a part was lifted; earlier crashes do not count against it.
	lifted         map[call.PartID]time.Time
	hosts, entries int
}

// New returns an empty list.
func New() *List {
	return &List{accounts: make(map[ident.Service]*blame.Account[call.PartID]), parts: make(map[call.PartID]Entry), lifted: make(map[call.PartID]time.Time), entries: 1}
}

// account returns the account of a service.
func (l *List) account(s ident.Service) *blame.Account[call.PartID] {
	a := l.accounts[s]
	if a == nil {
		a = blame.New[call.PartID]()
		a.SetEndpoints(l.hosts)
		a.SetObservers(l.entries)
		l.accounts[s] = a
	}
	return a
}

// SetHosts sets the number of hosts that have engines.
func (l *List) SetHosts(n int) {
	l.hosts = n
	for _, a := range l.accounts {
		a.SetEndpoints(n)
	}
}

// SetEntries sets the number of entries, each of which sends an equal part of the requests.
func (l *List) SetEntries(n int) {
	l.entries = n
	for _, a := range l.accounts {
		a.SetObservers(n)
	}
}

// Advance records the number of engines of each service that have been up since the last call.
func (l *List) Advance(now time.Time, engines map[ident.Service]int) {
	for s := range engines {
		l.account(s)
	}
	for s, a := range l.accounts {
		a.Advance(now, engines[s])
	}
}

// Begin records that a request is sent to an engine.
func (l *List) Begin(now time.Time, s ident.Service, parts []call.Part, at ident.Endpoint) {
	l.account(s).Begin(now, ids(parts), at)
}

// Stop records that a request is not in progress at an engine any more.
func (l *List) Stop(now time.Time, s ident.Service, parts []call.Part, at ident.Endpoint) {
	l.account(s).Stop(now, ids(parts), at)
}

// Complete records that an engine has survived a request, and returns the parts that are released for that.
func (l *List) Complete(now time.Time, s ident.Service, parts []call.Part, duration time.Duration) []Change {
	return l.apply(now, l.account(s).Complete(ids(parts), duration))
}

// Suspects returns what this entry knows of the parts of a request that an engine has broken off some time after its send.
func (l *List) Suspects(now time.Time, s ident.Service, parts []call.Part, ran time.Duration) (list []Suspect) {
	a := l.account(s)
	for _, p := range parts {
		list = append(list, newSuspect(p.ID, a.Present(now, p.ID, ran)))
	}
	return list
}

// ids returns the ids of parts, each once.
func ids(parts []call.Part) []call.PartID {
	list := make([]call.PartID, 0, len(parts))
	for _, p := range parts {
		if !slices.Contains(list, p.ID) {
			list = append(list, p.ID)
		}
	}
	return list
}

// Observe adds a crash, or what has become known of it since, and returns the changes of the quarantine.
func (l *List) Observe(now time.Time, c Crash) []Change {
	i := slices.IndexFunc(l.crashes, func(x incarnation) bool { return x.endpoint == c.Endpoint && x.startMilli == c.StartMilli })
	if i >= 0 {
		known := &l.crashes[i]
		if c.Requests <= known.requests && len(c.Suspects) <= known.suspects {
			return nil
		}
		c.At, known.requests, known.suspects = known.at, c.Requests, len(c.Suspects)
	} else {
		l.crashes = append(l.crashes, incarnation{endpoint: c.Endpoint, startMilli: c.StartMilli, at: c.At, requests: c.Requests, suspects: len(c.Suspects)})
	}
	l.failProbations(c)
	l.crashes = slices.DeleteFunc(l.crashes, func(x incarnation) bool { return now.Sub(x.at) > crashExpiry })
	l.crashes = slices.Delete(l.crashes, 0, max(len(l.crashes)-maxCrashes, 0))
	a := l.account(c.Service)
	end := blame.End[call.PartID]{Endpoint: c.Endpoint, StartMilli: c.StartMilli, At: c.At, Requests: c.Requests, Present: make(map[call.PartID]blame.Presence, len(c.Suspects))}
	for _, s := range c.Suspects {
		if !c.At.After(l.lifted[s.Part]) {
			continue
		}
		if known, ok := l.parts[s.Part]; ok {
			if a.Blame(s.Part); !now.Before(known.Until) {
				a.Expire(s.Part)
			}
		}
		end.Present[s.Part] = s.presence()
	}
	return l.apply(now, a.RecordEnd(end))
}

// apply applies verdicts to the quarantine.
func (l *List) apply(now time.Time, verdicts []blame.Verdict[call.PartID]) (changes []Change) {
	for _, v := range verdicts {
		e := Entry{Part: v.Candidate, Incidents: v.Ends, Of: max(v.Of, v.Ends), Share: v.Share, Evidence: v.Evidence}
		known, ok := l.parts[v.Candidate]
		switch {
		case v.Released && ok:
			delete(l.parts, v.Candidate)
			changes = append(changes, Change{Entry: known, Released: true})
		case !v.Released && (!ok || !now.Before(known.Until)):
			changes = append(changes, l.quarantine(now, e)...)
		}
	}
	return changes
}

// Restore adds a part that another process has put in quarantine, whose clock may differ.
func (l *List) Restore(now time.Time, e Entry) {
	known, ok := l.parts[e.Part]
	if !ok && len(l.parts) >= maxParts {
		return
	}
	if ok && !e.Newer(known.Probation) {
		e.Probation = known.Probation
	}
	if ok && !known.Until.Before(e.Until) {
		known.Probation = e.Probation
		l.parts[e.Part] = known
		return
	}
	if e.Since = now; ok {
		e.Since = known.Since
	}
	l.parts[e.Part] = e
}

// Lift ends the quarantine of a part. It reports whether the part was on the list.
func (l *List) Lift(now time.Time, part call.PartID) (known bool) {
	_, known = l.parts[part]
	delete(l.parts, part)
	for _, a := range l.accounts {
		a.Lift(part)
	}
	if len(l.lifted) >= maxParts {
		clear(l.lifted)
	}
	l.lifted[part] = now
	return known
}

// Crashes returns the number of crashes that are remembered.
func (l *List) Crashes() int { return len(l.crashes) }

// Find returns the first part of a prompt that is in quarantine, but for those of which the request is a probation.
func (l *List) Find(now time.Time, parts []call.Part, except ...call.PartID) (e Entry, ok bool) {
	if len(l.parts) == 0 {
		return e, false
	}
	for _, p := range parts {
		if e, ok = l.parts[p.ID]; ok && now.Before(e.Until) && !slices.Contains(except, p.ID) {
			return e, true
		}
	}
	return e, false
}

// Suspected reports whether there is evidence against a part of a prompt, in quarantine or not.
func (l *List) Suspected(s ident.Service, parts []call.Part) bool {
	a := l.account(s)
	return slices.ContainsFunc(parts, func(p call.Part) bool {
		_, known := l.parts[p.ID]
		return known || a.Suspected(p.ID)
	})
}

// Entries lists the parts in quarantine.
func (l *List) Entries(now time.Time) (list []Entry) {
	for _, e := range l.parts {
		if now.Before(e.Until) {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b Entry) int { return cmp.Compare(a.Part, b.Part) })
	return list
}

// quarantine adds a part to the list.
func (l *List) quarantine(now time.Time, e Entry) []Change {
	duration := firstDuration
	if known, ok := l.parts[e.Part]; ok {
		duration = min(2*known.Until.Sub(known.Since), maxDuration)
	} else if len(l.parts) >= maxParts {
		for p, old := range l.parts {
			if !now.Before(old.Until) {
				delete(l.parts, p)
			}
		}
		if len(l.parts) >= maxParts {
			return nil
		}
	}
	e.Since, e.Until, e.NextProbation = now, now.Add(duration), now.Add(firstProbation)
	if at, lifted := l.lifted[e.Part]; lifted && now.Sub(at) < liftMemory {
		e.Probations = maxProbations
	}
	l.parts[e.Part] = e
	return []Change{{Entry: e}}
}
