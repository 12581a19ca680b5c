//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"shallotring.dev/platform/standin"
)

func init() { cases["crowdedrequest"] = crowdedRequest }

const (
	crowdTarget   = "/chat/summary"
	crowdBody     = "the log that crashes engines"
	crowdLength   = 50 * time.Second
	crowdInterval = time.Second
	// crowdSize is the number of copies that come at once, each for another adapter.
	crowdSize = 6
)

// crowdedRequest sends a request that crashes engines for several adapters at once, again and again.
func crowdedRequest(r *record, trouble bool) (isBroken bool, err error) {
	f, err := newFleet(r)
	if err != nil {
		return false, err
	}
	defer f.close()
	c, err := f.addCrashingEngines(quietEngines, standin.Poison{Target: crowdTarget, Body: crowdBody, Probability: 1, Stage: standin.InsideEvent}, trouble)
	if err != nil {
		return false, err
	}
	f.store.Configure(7, []standin.Route{{Host: requestHost, Prefix: "/chat/", Kind: "streaming", Service: engineService, Timeout: 5 * time.Second, LatencyGoal: time.Second, Engines: 1}},
		[]standin.Service{{Name: engineService, Model: modelName, AdapterSlots: 9}})
	for i := range 2 {
		if err = f.addEntry(i, zone); err != nil {
			return false, err
		}
	}
	if err = f.waitReady(); err != nil {
		return false, err
	}
	var wg sync.WaitGroup
	sequence := 0
	send := func(adapter int, target, body string) {
		sequence++
		n := sequence
		wg.Go(func() {
			f.send(n%2, standin.Call{ID: fmt.Sprintf("%016x", 0x4000+n), Method: http.MethodPost, Target: target, Host: requestHost, Body: body, Timeout: 5 * time.Second,
				Model: fmt.Sprintf("%s/a%d", modelName, adapter), Shared: standin.Part{ID: sharedPart, Tokens: 200}, Own: standin.Part{ID: uint64(n), Tokens: 600}, MaxOutputTokens: 80})
		})
	}
	// Sound requests come all the time, and load the adapters at the beginning.
	start := time.Now()
	for i := 0; time.Since(start) < crowdLength; i++ {
		send(i%crowdSize+1, fmt.Sprint("/chat/", i), fmt.Sprint("log ", i))
		if i%5 == 4 && i > 20 {
			for a := range crowdSize {
				send(a+1, crowdTarget, crowdBody)
			}
		}
		time.Sleep(crowdInterval / 5)
	}
	wg.Wait()
	if err = f.checkProcesses(); err != nil {
		return false, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	late := c.late(3)
	return r.conclude(late > 3, "the request reached engines %d times later than %v after the third crash; engines crashed %d times", late, contact, len(c.crashes)), nil
}
