//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"shallotring.dev/platform/standin"
)

func init() { cases["deskcrash"] = deskCrash }

// deskCrash sends an order on which the instances of a plain service crash after they have begun an answer without a length, at a low rate.
func deskCrash(r *record, trouble bool) (isBroken bool, err error) {
	f, err := newFleet(r)
	if err != nil {
		return false, err
	}
	defer f.close()
	c := &crashLog{}
	poison := standin.Poison{Target: "/order/13", Body: "box", Probability: 1, Stage: standin.AfterEvent}
	if _, err = f.addEndpoint("llm-0", engineService, zone, engineGroup, 0, standin.WithModel(modelName, 9, 250*time.Millisecond)); err != nil {
		return false, err
	}
	for i := range 4 {
		var e *endpoint
		lifetime := 1
		crash := func() {
			former := e.ID()
			if !e.server.stop() {
				return
			}
			c.mu.Lock()
			c.crashes = append(c.crashes, time.Now())
			f.write("crash    %d, of %s", len(c.crashes), former)
			c.mu.Unlock()
			time.AfterFunc(3*heartbeat, func() { f.store.Delete("servers/" + former) })
			time.AfterFunc(5*time.Second, func() {
				lifetime++
				e.Rename(fmt.Sprintf("desk-%d-%d", i, lifetime))
				e.Start()
				_ = e.server.start()
			})
		}
		e, err = f.addEndpoint(fmt.Sprint("desk-", i), formerService, zone, plainGroup, i, standin.WithPace(1, 30*time.Millisecond), standin.WithCrash(func() { go crash() }),
			standin.WithJournal(func(a standin.Arrival) {
				c.mu.Lock()
				defer c.mu.Unlock()
				if a.Ran {
					c.runs = append(c.runs, timedRequest{time.Now(), a.ID, poison.In(a)})
					f.write("run      %s at %s, poison %t", a.ID, a.Engine, poison.In(a))
				}
			}))
		if err != nil {
			return false, err
		}
		if trouble {
			e.SetPoison(poison)
		}
	}
	f.store.Configure(7, []standin.Route{{Host: requestHost, Prefix: "/order/", Kind: "non_idempotent", Service: formerService, Timeout: time.Second, LatencyGoal: 150 * time.Millisecond, Engines: 1}},
		[]standin.Service{{Name: engineService, Model: modelName, AdapterSlots: 9}, {Name: formerService}})
	for i := range 2 {
		if err = f.addEntry(i, zone); err != nil {
			return false, err
		}
	}
	if err = f.waitReady(); err != nil {
		return false, err
	}
	var wg sync.WaitGroup
	for i := range 90 {
		target := fmt.Sprint("/order/", 100+i)
		if i%4 == 0 {
			target = "/order/13"
		}
		wg.Go(func() {
			f.send(i%2, standin.Call{ID: fmt.Sprintf("%016x", 0x7000+i), Method: http.MethodPost, Target: target, Host: requestHost, Body: "box", Timeout: time.Second})
		})
		time.Sleep(600 * time.Millisecond)
	}
	wg.Wait()
	late := c.late(3)
	return r.conclude(late > 3, "the order reached instances %d times later than %v after the third crash; they crashed %d times", late, contact, len(c.crashes)), nil
}
