//go:build review

package main

import (
	"fmt"
	"sync"
	"time"

	"shallotring.dev/platform/standin"
)

// crashedFor is the time after which a crashed engine is back.
const crashedFor = 3 * time.Second

// timedRequest is a request that was sent, or that an engine began to run; poison is set if it crashes engines.
type timedRequest struct {
	at     time.Time
	id     string
	poison bool
}

// crashLog is what was seen of engines that crash.
type crashLog struct {
	mu         sync.Mutex
	crashes    []time.Time
	runs, sent []timedRequest
}

// late counts the requests that reached engines later than the contact time after the given crash although they crash engines.
func (c *crashLog) late(crash int) (n int) {
	if len(c.crashes) < crash {
		return 0
	}
	from := c.crashes[crash-1].Add(contact)
	for _, a := range c.runs {
		if a.poison && a.at.After(from) {
			n++
		}
	}
	return n
}

// addCrashingEngines adds engines with their agents; each crashes on the poison if active, and is back with a new id after crashedFor.
func (f *fleet) addCrashingEngines(count int, poison standin.Poison, active bool) (c *crashLog, err error) {
	c = &crashLog{}
	for i := range count {
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
			time.AfterFunc(crashedFor, func() {
				lifetime++
				e.Rename(fmt.Sprintf("llm-%d-%d", i, lifetime))
				e.Start()
				if err := e.server.start(); err != nil {
					f.write("%s does not start: %v", e.ID(), err)
				}
			})
		}
		journal := func(a standin.Arrival) {
			c.mu.Lock()
			defer c.mu.Unlock()
			if a.Ran {
				c.runs = append(c.runs, timedRequest{time.Now(), a.ID, poison.In(a)})
				f.write("run      %s at %s, %s, poison %t", a.ID, a.Engine, a.Model, poison.In(a))
			}
		}
		e, err = f.addEndpoint(fmt.Sprint("llm-", i), engineService, zone, engineGroup, i, standin.WithModel(modelName, 9, 250*time.Millisecond),
			standin.WithPace(10, 100*time.Millisecond), standin.WithCrash(func() { go crash() }), standin.WithJournal(journal))
		if err != nil {
			return nil, err
		}
		if active {
			e.SetPoison(poison)
		}
	}
	return c, nil
}
