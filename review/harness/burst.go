//go:build review

package main

import (
	"sync"
	"time"
)

func init() { cases["burst"] = playBurst }

const (
	burstSize  = 6
	burstPause = 7 * time.Second
	// burstStart is the time before the first burst.
	burstStart  = 10 * time.Second
	burstLength = 45 * time.Second
)

// playBurst sends requests with a part on which engines crash, several at a time, beside sound requests.
func playBurst(r *record, trouble bool) (broken bool, err error) {
	f, err := newCrashFleet(r, trouble, poisonPart, false, "/lohu930/")
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return false, err
	}
	var wg sync.WaitGroup
	wg.Go(func() {
		time.Sleep(burstStart)
		for end := time.Now().Add(burstLength - burstStart); time.Now().Before(end); time.Sleep(burstPause) {
			for n := range burstSize {
				c := f.call(prompt{target: "/lohu930/2f", adapter: randomAdapter(), first: firstPart, poisoned: true})
				wg.Go(func() { f.send(n%entryCount, c) })
			}
		}
	})
	sound := f.soundTraffic(burstLength, 100*time.Millisecond)
	wg.Wait()
	return f.concludeLate(sound)
}
