//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"shallotring.dev/platform/standin"
)

func init() { cases["lonelimit"] = loneLimit }

// loneLimit freezes the only agent while an instance of a plain service names a limit.
func loneLimit(r *record, trouble bool) (isBroken bool, err error) {
	const limit = 10
	f, err := newFleet(r)
	if err != nil {
		return false, err
	}
	defer f.close()
	if _, err = f.addEndpoint("llm-0", engineService, zone, engineGroup, 0, standin.WithModel(modelName, 9, 250*time.Millisecond)); err != nil {
		return false, err
	}
	desk, err := f.addEndpoint("desk-0", formerService, zone, plainGroup, 0, standin.WithPace(1, 30*time.Millisecond))
	if err != nil {
		return false, err
	}
	f.store.Configure(7, []standin.Route{{Host: requestHost, Prefix: "/order/", Kind: "non_idempotent", Service: formerService, Timeout: time.Second, LatencyGoal: 150 * time.Millisecond, Engines: 1}},
		[]standin.Service{{Name: engineService, Model: modelName, AdapterSlots: 9}, {Name: formerService}})
	for i := range 4 {
		if err = f.addEntry(i, zone); err != nil {
			return false, err
		}
	}
	if err = f.waitReady(); err != nil {
		return false, err
	}
	var wg sync.WaitGroup
	done := make(chan struct{})
	wg.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			case <-time.After(20 * time.Millisecond):
			}
			wg.Go(func() {
				f.send(i%4, standin.Call{ID: fmt.Sprintf("%016x", 0x6000+i), Method: http.MethodPost, Target: "/order/1", Host: requestHost, Body: "box", Timeout: time.Second})
			})
		}
	})
	time.Sleep(time.Second)
	desk.SetLimit([]string{fmt.Sprint(limit)})
	named := time.Now()
	time.Sleep(5 * time.Second)
	if trouble {
		f.agents[0].signal(syscall.SIGSTOP)
		f.write("the agent's machine freezes")
	}
	time.Sleep(6500 * time.Millisecond)
	if trouble {
		f.agents[0].signal(syscall.SIGCONT)
	}
	time.Sleep(3 * time.Second)
	close(done)
	wg.Wait()
	most := standin.MostCalls(desk.ReceivedCalls(), named.Add(contact), 4*time.Second, standin.RequestCall)
	return r.conclude(float64(most) > 1.5*4*limit+5, "the instance got %d requests in 4 s; its limit of %d a second allows %v", most, limit, 1.5*4*limit+5), nil
}
