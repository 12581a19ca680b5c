//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"shallotring.dev/platform/standin"
)

const (
	engineCount = 6
	entryCount  = 2
	// adapterCount is the number of adapters that requests ask for.
	adapterCount = 20
	subjectCount = 20
	// engineRestart is the time after which a crashed engine is back.
	engineRestart = 3 * time.Second
	// countedCrashes is the number of crashes after which the bounds of the rules on parts that crash engines begin, and lateAllowed the number of
	// requests with the part that may reach engines later than contact after them.
	countedCrashes = 5
	lateAllowed    = 3
)

// The ids of parts of prompts, which consumers choose: the first part of most prompts and the part on which engines crash.
const (
	firstPart  = 0x5c1e07a2
	poisonPart = 0x91bd3f06
)

// crashFleet is a fleet whose model engines crash when they begin to write an answer on a part of a prompt.
type crashFleet struct {
	*fleet
	part uint64
	// sameID is set if engines start again under the id that they had.
	sameID bool

	mu      sync.Mutex
	crashes []time.Time
	// perEngine counts the crashes of each engine, late the requests with the part that have reached engines too late.
	perEngine map[string]int
	late      int
	// started has the requests that an engine has begun to run.
	started map[string]bool
}

// newCrashFleet starts a fleet with the given routes to the model engines. Without trouble, engines do not crash.
func newCrashFleet(r *record, trouble bool, part uint64, sameID bool, prefixes ...string) (f *crashFleet, err error) {
	base, err := newFleet(r)
	if err != nil {
		return nil, err
	}
	f = &crashFleet{fleet: base, part: part, sameID: sameID, perEngine: make(map[string]int), started: make(map[string]bool)}
	for i := range engineCount {
		if err = f.addEngine(i, trouble); err != nil {
			return f, err
		}
	}
	var routes []standin.Route
	for _, prefix := range prefixes {
		routes = append(routes, standin.Route{Host: requestHost, Prefix: prefix, Kind: "streaming", Service: engineService, Timeout: 5 * time.Second, LatencyGoal: time.Second, Engines: 1})
	}
	f.store.Configure(3, routes, []standin.Service{{Name: engineService, Model: modelName, AdapterSlots: 9, BatchSize: 64}})
	for i := range entryCount {
		if err = f.addEntry(i, zone); err != nil {
			return f, err
		}
	}
	return f, f.waitReady()
}

func (f *crashFleet) addEngine(i int, trouble bool) (err error) {
	var e *endpoint
	e, err = f.addEndpoint(fmt.Sprint("llm-", i), engineService, zone, engineGroup, i,
		standin.WithModel(modelName, 9, 250*time.Millisecond), standin.WithPace(13, 40*time.Millisecond),
		standin.WithJournal(f.arrived), standin.WithCrash(func() { f.crash(e) }))
	if err == nil && trouble {
		e.SetPoison(standin.Poison{Part: f.part, Probability: 1, Stage: standin.InsideEvent})
	}
	return err
}

func (f *crashFleet) arrived(a standin.Arrival) {
	f.mu.Lock()
	defer f.mu.Unlock()
	poisoned := slices.Contains(a.Parts[:max(len(a.Parts)-1, 0)], fmt.Sprintf("%x", f.part))
	f.write("arrived  %s at %s: runs %t, has the part %t", a.ID, a.Engine, a.Ran, poisoned)
	if poisoned && len(f.crashes) >= countedCrashes && time.Since(f.crashes[countedCrashes-1]) > contact {
		f.late++
	}
	f.started[a.ID] = f.started[a.ID] || a.Ran
}

// crash ends an engine with all its connections; connections to it are refused until it is back.
func (f *crashFleet) crash(e *endpoint) {
	if !e.server.stop() {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashes = append(f.crashes, time.Now())
	f.perEngine[e.name]++
	number, id := len(f.crashes), e.ID()
	f.write("crashed  %s, crash %d", id, number)
	time.AfterFunc(engineRestart, func() {
		if !f.sameID {
			e.Rename(fmt.Sprintf("%s-%d", e.name, number+1))
			// The discovery entry of the former id goes after three heartbeats without a renewal.
			time.AfterFunc(max(3*heartbeat-engineRestart, 0), func() { f.store.Delete("servers/" + id) })
		}
		e.Start()
		f.write("back     %s", e.ID())
		if err := e.server.start(); err != nil {
			f.write("%s could not start again: %v", e.name, err)
		}
	})
}

// prompt is what a request asks for.
type prompt struct {
	target  string
	adapter int
	first   uint64
	// poisoned adds the part on which engines crash between the others.
	poisoned bool
}

// randomAdapter returns one of the adapters.
func randomAdapter() int { return 1 + rand.IntN(adapterCount) }

// call returns a request of its own for a prompt. All parts but the last and that on which engines crash are shared with others.
func (f *crashFleet) call(p prompt) standin.Call {
	kind := "sound"
	middle := []standin.Part{{ID: uint64(100 + rand.IntN(subjectCount)), Tokens: 410}}
	if p.poisoned {
		kind = "part"
		middle = append(middle, standin.Part{ID: f.part, Tokens: 90})
	}
	id := fmt.Sprintf("%s-%012x", kind, rand.Uint64()>>16)
	return standin.Call{ID: id, Method: "POST", Target: p.target, Host: requestHost, Body: "summarise " + id, Timeout: 5 * time.Second, Model: fmt.Sprintf("%s/a%d", modelName, p.adapter),
		MaxOutputTokens: 80, Shared: standin.Part{ID: p.first, Tokens: 800}, Middle: middle, Own: standin.Part{ID: rand.Uint64(), Tokens: 250}}
}

// outcome is a finished request.
type outcome struct {
	id     string
	sentAt time.Time
	answer answer
}

// sendEach sends a request to the entries in turn after each pause until the time is over, and waits for all of them. done may be nil.
func (f *crashFleet) sendEach(period, pause time.Duration, next func() prompt, done func(o outcome)) {
	var wg sync.WaitGroup
	end := time.Now().Add(period)
	for n := 0; time.Now().Before(end); n++ {
		c := f.call(next())
		wg.Go(func() {
			o := outcome{id: c.ID, sentAt: time.Now()}
			o.answer = f.send(n%entryCount, c)
			f.mu.Lock()
			defer f.mu.Unlock()
			if done != nil {
				done(o)
			}
		})
		time.Sleep(pause)
	}
	wg.Wait()
}

// soundCount counts sound requests; begun are those that an engine began to run and did not complete.
type soundCount struct{ sent, begun int }

// soundTraffic sends sound requests for any adapter.
func (f *crashFleet) soundTraffic(period, pause time.Duration) (n soundCount) {
	f.sendEach(period, pause, func() prompt { return prompt{target: "/lohu930/2f", adapter: randomAdapter(), first: firstPart} }, func(o outcome) {
		n.sent++
		if f.started[o.id] && !o.answer.served() {
			n.begun++
		}
	})
	return n
}

// concludeLate checks the rule BUDGET on requests with a part that crashes engines.
func (f *crashFleet) concludeLate(sound soundCount) (broken bool, err error) {
	if err = f.checkProcesses(); err != nil {
		return false, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.conclude(f.late > lateAllowed, "%d requests with the part reached engines later than %s after crash %d, %d allowed; %d crashes, by engine %v; %d of %d sound requests were begun and not completed",
		f.late, contact, countedCrashes, lateAllowed, len(f.crashes), f.perEngine, sound.begun, sound.sent), nil
}
