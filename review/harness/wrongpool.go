//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"shallotring.dev/platform/standin"
)

// reportService is a second service of engines, which serves the same base model to other routes.
const reportService = "geo-llm-reports"

func init() { cases["wrongpool"] = wrongPool }

// wrongPool adds a second service of engines with the same base model and a route to it, and later moves that route back to the first one.
func wrongPool(r *record, trouble bool) (isBroken bool, err error) {
	f, err := newFleet(r)
	if err != nil {
		return false, err
	}
	defer f.close()
	var mu sync.Mutex
	ranAt := make(map[string]string)
	journal := standin.WithJournal(func(a standin.Arrival) {
		mu.Lock()
		defer mu.Unlock()
		if a.Ran {
			ranAt[a.ID] = a.Service
			f.write("run      %s (%s) at %s of %s", a.ID, a.Target, a.Engine, a.Service)
		}
	})
	add := func(name, service string, host int) (err error) {
		_, err = f.addEndpoint(name, service, zone, engineGroup, host, standin.WithModel(modelName, 9, 250*time.Millisecond), standin.WithPace(5, 40*time.Millisecond), journal)
		return err
	}
	for i := range 2 {
		if err = add(fmt.Sprint("llm-", i), engineService, i); err != nil {
			return false, err
		}
	}
	route := func(prefix, service string) standin.Route {
		return standin.Route{Host: requestHost, Prefix: prefix, Kind: "streaming", Service: service, Timeout: 5 * time.Second, LatencyGoal: time.Second, Engines: 1}
	}
	former := []standin.Service{{Name: engineService, Model: modelName, AdapterSlots: 9}}
	both := append(former, standin.Service{Name: reportService, Model: modelName, AdapterSlots: 9})
	f.store.Configure(7, []standin.Route{route("/chat/", engineService)}, former)
	for i := range 2 {
		if err = f.addEntry(i, zone); err != nil {
			return false, err
		}
	}
	if err = f.waitReady(); err != nil {
		return false, err
	}
	sequence := 0
	// send sends requests of both routes for a time; it returns the number of those of a target and which services ran them.
	send := func(length time.Duration, reports bool, counted string) (sent int, ran map[string]int) {
		var wg sync.WaitGroup
		var ids []string
		for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			target := "/chat/1"
			if reports && sequence%4 == 3 {
				target = "/report/1"
			}
			sequence++
			id := fmt.Sprintf("%016x", 0x3000+sequence)
			if target == counted {
				ids = append(ids, id)
			}
			entry, model := sequence%2, modelName
			if sequence%3 == 0 {
				model += fmt.Sprint("/a", sequence%5+1)
			}
			wg.Go(func() {
				f.send(entry, standin.Call{ID: id, Method: http.MethodPost, Target: target, Host: requestHost, Body: "log", Timeout: 5 * time.Second, Model: model,
					Shared: standin.Part{ID: 0x51, Tokens: 200}, Own: standin.Part{ID: uint64(sequence), Tokens: 600}, MaxOutputTokens: 80})
			})
		}
		wg.Wait()
		ran = make(map[string]int)
		mu.Lock()
		defer mu.Unlock()
		for _, id := range ids {
			if s := ranAt[id]; s != "" {
				ran[s]++
			}
		}
		return len(ids), ran
	}
	if trouble {
		for i := range 2 {
			if err = add(fmt.Sprint("reports-", i), reportService, 2+i); err != nil {
				return false, err
			}
		}
		f.store.Configure(11, []standin.Route{route("/chat/", engineService), route("/report/", reportService)}, both)
		f.write("version 11 is confirmed: the service %s and its route /report/ are new; /chat/ stays with %s", reportService, engineService)
	}
	time.Sleep(contact + configBound)
	sent, ran := send(10*time.Second, trouble, "/chat/1")
	f.write("/chat/ with %s: %d sent, run by %v", engineService, sent, ran)
	foreign := ran[reportService]
	if trouble {
		f.store.Configure(13, []standin.Route{route("/chat/", engineService), route("/report/", engineService)}, both)
		f.write("version 13 is confirmed: /report/ moves to %s", engineService)
		time.Sleep(configBound + 500*time.Millisecond)
		moved, ranMoved := send(10*time.Second, true, "/report/1")
		f.write("/report/ with %s: %d sent, run by %v (rule CONFIG)", engineService, moved, ranMoved)
		fmt.Printf("/report/ with %s: %d sent, run by %v\n", engineService, moved, ranMoved)
	}
	if err = f.checkProcesses(); err != nil {
		return false, err
	}
	return r.conclude(foreign > 0, "%d of %d requests of /chat/ were run by %s, to which no configuration sent so far allows them to go", foreign, sent, reportService), nil
}
