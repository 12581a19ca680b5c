//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"shallotring.dev/platform/standin"
)

func init() { cases["quietpoison"] = quietPoison }

const (
	quietPart    = 0xbad0
	sharedPart   = 0x51
	quietEngines = 3
	// The traffic of quiet hours: sound requests alone for soundAlone, then also those with the part.
	length         = 85 * time.Second
	soundAlone     = 25 * time.Second
	soundInterval  = time.Second
	poisonInterval = time.Second / 3
)

// quietPoison sends prompts with a part that crashes engines, and sound ones, at the low rate of quiet hours.
func quietPoison(r *record, trouble bool) (isBroken bool, err error) {
	f, err := newFleet(r)
	if err != nil {
		return false, err
	}
	defer f.close()
	c, err := f.addCrashingEngines(quietEngines, standin.Poison{Part: quietPart, Probability: 1, Stage: standin.InsideEvent}, trouble)
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
	end := time.Now().Add(length)
	stream := func(first int, interval time.Duration, middle []standin.Part) {
		wg.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				id := fmt.Sprintf("%016x", first+i)
				wg.Go(func() {
					c.mu.Lock()
					c.sent = append(c.sent, timedRequest{time.Now(), id, middle[0].ID == quietPart})
					c.mu.Unlock()
					f.send(i%2, standin.Call{ID: id, Method: http.MethodPost, Target: fmt.Sprintf("/chat/%d", i), Host: requestHost, Body: id, Timeout: 5 * time.Second, Model: modelName,
						Shared: standin.Part{ID: sharedPart, Tokens: 200}, Middle: middle, Own: standin.Part{ID: uint64(first + i), Tokens: 600}, MaxOutputTokens: 80})
				})
				time.Sleep(interval)
			}
		})
	}
	stream(0x10000, soundInterval, []standin.Part{{ID: 0x600d, Tokens: 100}})
	time.Sleep(soundAlone)
	stream(0x20000, poisonInterval, []standin.Part{{ID: quietPart, Tokens: 100}})
	time.Sleep(time.Until(end))
	wg.Wait()
	if err = f.checkProcesses(); err != nil {
		return false, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.crashes) < 5 {
		return r.conclude(false, "engines crashed %d times", len(c.crashes)), nil
	}
	begun, sound, soundBegun := make(map[string]bool), [2]int{}, [2]int{}
	for _, a := range c.runs {
		begun[a.id] = true
	}
	for _, a := range c.sent {
		i := 0
		if a.at.After(c.crashes[0].Add(-time.Second)) {
			if i = 1; a.at.Before(c.crashes[4].Add(2 * contact)) {
				continue
			}
		}
		if a.poison {
			continue
		}
		sound[i]++
		if begun[a.id] {
			soundBegun[i]++
		}
	}
	text := fmt.Sprintf("sound requests: %d of %d began before the first crash, %d of %d later than %v after the fifth (rule LOST)", soundBegun[0], sound[0], soundBegun[1], sound[1], 2*contact)
	r.write("%s", text)
	fmt.Println(text)
	late := c.late(5)
	return r.conclude(late > 3, "%d requests with the part reached engines later than %v after the fifth crash; engines crashed %d times", late, contact, len(c.crashes)), nil
}
