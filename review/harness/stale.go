//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"shallotring.dev/platform/standin"
)

func init() { cases["stale"] = playStale }

const (
	staleRounds = 6
	// silence is the time for which the store does not respond to one machine.
	silence = 300 * time.Millisecond
	// minGap is the least time from one silence to the next, to which a random time up to gapSpread is added.
	minGap        = 12 * time.Second
	gapSpread     = 5 * time.Second
	configTimeout = 2 * time.Second
	// maxSkew is the longest time by which an unstable store stretches configTimeout.
	maxSkew     = 5 * time.Second
	orderTarget = "/puxa403/2f"
	orderPause  = 50 * time.Millisecond
)

// storeGate is the store as one machine reaches it. Calls that are in progress during a silence, or begin in it, get no response.
type storeGate struct {
	store *standin.Store
	mu    sync.Mutex
	// silent is set during a silence, silences counts them.
	silent   bool
	silences int
}

func (g *storeGate) set(silent bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.silent = silent; silent {
		g.silences++
	}
}

// ServeHTTP serves one call of the machine.
func (g *storeGate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.mu.Lock()
	silent, before := g.silent, g.silences
	g.mu.Unlock()
	if !silent {
		answer := httptest.NewRecorder()
		g.store.ServeHTTP(answer, r)
		g.mu.Lock()
		silent = g.silences != before
		g.mu.Unlock()
		if !silent {
			for name, values := range answer.Header() {
				w.Header()[name] = values
			}
			w.WriteHeader(answer.Code)
			// The machine may have closed the connection.
			_, _ = w.Write(answer.Body.Bytes())
			return
		}
	}
	<-r.Context().Done()
}

// staleVersion is a configuration with the service of the route for orders.
type staleVersion struct {
	version     int64
	service     string
	confirmedAt time.Time
	// inTouchFrom is the time from which the machine is in touch again.
	inTouchFrom time.Time
}

func closed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// playStale lets the store be silent to one entry for a moment in which the operator moves a route to another service.
func playStale(r *record, trouble bool) (broken bool, err error) {
	f, err := newFleet(r)
	if err != nil {
		return false, err
	}
	defer f.close()
	var mu sync.Mutex
	sentAt := make(map[string]time.Time)
	var versions []staleVersion
	late, beyondSkew := 0, 0
	services := []string{"custody-app", "custody-new"}
	for i, service := range services {
		if _, err = f.addEndpoint(fmt.Sprint("desk-", i), service, zone, plainGroup, i, standin.WithPace(1, 30*time.Millisecond),
			standin.WithJournal(func(a standin.Arrival) {
				mu.Lock()
				defer mu.Unlock()
				at, v := sentAt[a.ID], versions[len(versions)-1]
				f.write("arrived  %s at %s of %s: runs %t", a.ID, a.Engine, service, a.Ran)
				if a.Ran && service != v.service && at.After(v.confirmedAt.Add(configTimeout)) && at.After(v.inTouchFrom) {
					late++
					if at.After(v.confirmedAt.Add(configTimeout + maxSkew)) {
						beyondSkew++
					}
					f.write("late     %s runs at %s, %d ms after version %d was confirmed", a.ID, service, at.Sub(v.confirmedAt).Milliseconds(), v.version)
				}
			})); err != nil {
			return false, err
		}
	}
	for i := range 2 {
		if _, err = f.addEndpoint(fmt.Sprint("llm-", i), engineService, zone, engineGroup, i, standin.WithModel(modelName, 9, 250*time.Millisecond)); err != nil {
			return false, err
		}
	}
	configure := func(inTouchFrom time.Time) {
		mu.Lock()
		v := staleVersion{version: int64(3 + 4*len(versions)), service: services[len(versions)%2], inTouchFrom: inTouchFrom}
		mu.Unlock()
		f.store.Configure(v.version, []standin.Route{
			{Host: requestHost, Prefix: "/puxa403/", Kind: "non_idempotent", Service: v.service, Timeout: time.Second, LatencyGoal: 150 * time.Millisecond, Engines: 1},
			{Host: requestHost, Prefix: "/lohu930/", Kind: "streaming", Service: engineService, Timeout: 5 * time.Second, LatencyGoal: time.Second, Engines: 1},
		}, []standin.Service{{Name: services[0]}, {Name: services[1]}, {Name: engineService, Model: modelName, AdapterSlots: 9, BatchSize: 64}})
		mu.Lock()
		defer mu.Unlock()
		v.confirmedAt = time.Now()
		versions = append(versions, v)
		f.write("version  %d is confirmed: the route for orders leads to %s", v.version, v.service)
	}
	configure(time.Now())
	gate := &storeGate{store: f.store}
	own := &server{address: hostPort(f.address(storeGroup, 1), f.port), handler: gate}
	f.servers = append(f.servers, own)
	if err = own.start(); err != nil {
		return false, err
	}
	for i := range 2 {
		if i == 1 {
			f.storeAt = own.address
		}
		if err = f.addEntry(i, zone); err != nil {
			return false, err
		}
	}
	if err = f.waitReady(); err != nil {
		return false, err
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		time.Sleep(time.Second)
		for range staleRounds {
			if trouble {
				f.write("the store is silent to edge-1")
				gate.set(true)
			}
			begun := time.Now()
			time.Sleep(silence / 3)
			configure(begun.Add(silence + contact))
			time.Sleep(time.Until(begun.Add(silence)))
			if trouble {
				gate.set(false)
				f.write("the store responds to edge-1 again")
			}
			time.Sleep(time.Until(begun.Add(minGap + rand.N(gapSpread))))
		}
	}()
	var wg sync.WaitGroup
	for n := 0; !closed(done); n++ {
		id := fmt.Sprintf("%016x", rand.Uint64())
		c := standin.Call{ID: id, Method: "POST", Target: orderTarget, Host: requestHost, Body: "order " + id, Timeout: time.Second}
		mu.Lock()
		sentAt[id] = time.Now()
		mu.Unlock()
		wg.Go(func() { f.send(n%2, c) })
		time.Sleep(orderPause)
	}
	wg.Wait()
	if err = f.checkProcesses(); err != nil {
		return false, err
	}
	mu.Lock()
	defer mu.Unlock()
	return f.conclude(late > 0, "%d orders that were sent later than %s after the confirmation of a version, by a machine in touch, ran at the service of an older one, %d of them later than %s; %d versions", late, configTimeout, beyondSkew, configTimeout+maxSkew, len(versions)), nil
}
