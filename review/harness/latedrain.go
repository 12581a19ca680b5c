//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"shallotring.dev/platform/standin"
)

// drainBound is that of the rule DRAIN.
const drainBound = 2 * time.Second

func init() { cases["latedrain"] = lateDrain }

// lateDrain cuts an entry off from the store while an instance of a plain service leaves, and sends requests once the entry is in touch again.
func lateDrain(r *record, trouble bool) (isBroken bool, err error) {
	f, err := newFleet(r)
	if err != nil {
		return false, err
	}
	defer f.close()
	type arrival struct {
		id, engine string
		at         time.Time
	}
	var mu sync.Mutex
	var arrivals []arrival
	journal := standin.WithJournal(func(a standin.Arrival) {
		mu.Lock()
		defer mu.Unlock()
		arrivals = append(arrivals, arrival{a.ID, a.Engine, time.Now()})
		f.write("arrived  %s at %s, run %t", a.ID, a.Engine, a.Ran)
	})
	var left atomic.Bool
	f.wrap = func(e *endpoint) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			if e.name == "desk-0" && left.Load() {
				w.Header().Set("Server-Leaving", "1")
			}
			e.Engine.ServeHTTP(w, q)
		})
	}
	if _, err = f.addEndpoint("llm-0", engineService, zone, engineGroup, 0, standin.WithModel(modelName, 9, 250*time.Millisecond)); err != nil {
		return false, err
	}
	var desks []*endpoint
	for i := range 2 {
		e, err := f.addEndpoint(fmt.Sprint("desk-", i), formerService, zone, plainGroup, i, standin.WithPace(1, 30*time.Millisecond), journal)
		if err != nil {
			return false, err
		}
		desks = append(desks, e)
	}
	f.store.Configure(7, []standin.Route{{Host: requestHost, Prefix: "/order/", Kind: "non_idempotent", Service: formerService, Timeout: time.Second, LatencyGoal: 150 * time.Millisecond, Engines: 1}},
		[]standin.Service{{Name: engineService, Model: modelName, AdapterSlots: 9}, {Name: formerService}})
	link, err := newStoreLink(hostPort(f.address(storeGroup, 1), f.port), f.storeAt)
	if err != nil {
		return false, err
	}
	defer link.close()
	f.entryStoreAt = link.address
	if err = f.addEntry(0, zone); err != nil {
		return false, err
	}
	if err = f.waitReady(); err != nil {
		return false, err
	}
	var wg sync.WaitGroup
	sequence := 0
	send := func() {
		sequence++
		id := fmt.Sprintf("%016x", 0x2000+sequence)
		wg.Go(func() {
			f.send(0, standin.Call{ID: id, Method: http.MethodPost, Target: "/order/1", Host: requestHost, Body: "box", Timeout: time.Second})
		})
	}
	for range 20 {
		send()
		time.Sleep(50 * time.Millisecond)
	}
	if trouble {
		link.cut(true)
		f.write("edge-0 is cut off from the store")
	}
	time.Sleep(3 * time.Second)
	desks[0].leave()
	left.Store(true)
	removed := time.Now()
	f.write("the entry of desk-0 is removed; it goes on serving")
	time.Sleep(1500 * time.Millisecond)
	link.cut(false)
	healed := time.Now()
	f.write("edge-0 reaches the store")
	from := removed.Add(drainBound)
	if trouble && healed.Add(contact).After(from) {
		from = healed.Add(contact)
	}
	time.Sleep(time.Until(from.Add(100 * time.Millisecond)))
	for range 10 {
		send()
	}
	for range 20 {
		time.Sleep(50 * time.Millisecond)
		send()
	}
	wg.Wait()
	if err = f.checkProcesses(); err != nil {
		return false, err
	}
	count, last := 0, time.Duration(0)
	for _, a := range arrivals {
		if a.engine == "desk-0-1" && a.at.After(from) {
			count++
			last = a.at.Sub(removed)
		}
	}
	return r.conclude(count > 0, "%d requests reached desk-0 later than %d ms after its removal was confirmed, sent on by a machine in touch; the last of them after %d ms",
		count, from.Sub(removed).Milliseconds(), last.Milliseconds()), nil
}
