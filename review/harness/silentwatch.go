//go:build review

package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"shallotring.dev/platform/standin"
)

// The bounds of the rule CONFIG.
const (
	configBound   = 2 * time.Second
	newService    = "custody-new"
	formerService = "custody-app"
)

func init() { cases["silentwatch"] = silentWatch }

// sighting is what became of one order.
type sighting struct {
	sentAt  time.Time
	target  string
	status  int
	service string
}

// silentWatch silences the connection on which one entry watches the configuration, and then changes the configuration.
func silentWatch(r *record, trouble bool) (isBroken bool, err error) {
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
			f.write("run      %s at %s of %s", a.ID, a.Engine, a.Service)
		}
	})
	if _, err = f.addEndpoint("llm-0", engineService, zone, engineGroup, 0, standin.WithModel(modelName, 9, 250*time.Millisecond)); err != nil {
		return false, err
	}
	for i, service := range []string{formerService, formerService, newService, newService} {
		if _, err = f.addEndpoint(fmt.Sprint(service, "-", i), service, zone, plainGroup, i, standin.WithPace(1, 30*time.Millisecond), journal); err != nil {
			return false, err
		}
	}
	route := func(prefix, service string) standin.Route {
		return standin.Route{Host: requestHost, Prefix: prefix, Kind: "non_idempotent", Service: service, Timeout: time.Second, LatencyGoal: 150 * time.Millisecond, Engines: 1}
	}
	services := []standin.Service{{Name: engineService, Model: modelName, AdapterSlots: 9}, {Name: formerService}, {Name: newService}}
	f.store.Configure(7, []standin.Route{route("/order/", formerService), route("/idle/", formerService)}, services)
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
	var sightings []sighting
	done := make(chan struct{})
	wg.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			case <-time.After(100 * time.Millisecond):
			}
			wg.Go(func() {
				target := []string{"/order/1", "/added/1"}[i%2]
				id := fmt.Sprintf("%016x", 0x1000+i)
				sentAt := time.Now()
				a := f.send(0, standin.Call{ID: id, Method: http.MethodPost, Target: target, Host: requestHost, Body: "box", Timeout: time.Second})
				mu.Lock()
				defer mu.Unlock()
				sightings = append(sightings, sighting{sentAt: sentAt, target: target, status: a.status, service: ranAt[id]})
			})
		}
	})
	stop := func() {
		close(done)
		wg.Wait()
	}
	inTouch := time.Now()
	if trouble {
		found := false
		for end := time.Now().Add(30 * time.Second); !found && time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			open, waited, ok := link.silenceWatch("op%2F", 200*time.Millisecond, 5*time.Second)
			if found = ok; ok {
				f.write("silenced one of %d open connections between edge-0 and the store, on which a watch has waited for %d ms", open, waited.Milliseconds())
			}
		}
		if !found {
			stop()
			return false, errors.New("the entry does not watch the configuration")
		}
		inTouch = time.Now().Add(contact)
	}
	time.Sleep(300 * time.Millisecond)
	f.store.Configure(11, []standin.Route{route("/order/", newService), route("/added/", newService)}, services)
	confirmed := time.Now()
	f.write("version 11 is confirmed: /order/ moves from %s to %s, /added/ is new", formerService, newService)
	time.Sleep(14 * time.Second)
	stop()
	if err = f.checkProcesses(); err != nil {
		return false, err
	}
	from := confirmed.Add(configBound)
	if inTouch.After(from) {
		from = inTouch
	}
	ran, refused, judged, last := 0, 0, 0, time.Duration(0)
	for _, s := range sightings {
		if s.sentAt.Before(from) {
			continue
		}
		judged++
		switch {
		case s.service == formerService:
			ran++
		case s.target == "/added/1" && s.status == http.StatusNotFound:
			refused++
		default:
			continue
		}
		last = max(last, s.sentAt.Sub(confirmed))
	}
	return r.conclude(ran+refused > 0, "of %d requests sent later than %d ms after the confirmation, by a machine in touch, %d ran at the former service and %d got 404 on the added route; the last of them was sent %d ms after the confirmation",
		judged, from.Sub(confirmed).Milliseconds(), ran, refused, last.Milliseconds()), nil
}
