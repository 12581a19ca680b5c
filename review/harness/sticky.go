//go:build review

package main

import (
	"sync"
	"time"
)

func init() { cases["sticky"] = playSticky }

const (
	stickyAdapter = 7
	stickyPause   = 4500 * time.Millisecond
	stickyStart   = 10 * time.Second
	stickyLength  = 65 * time.Second
)

// playSticky sends requests with a part on which engines crash for one adapter, each after the engine of the one before is back.
func playSticky(r *record, trouble bool) (broken bool, err error) {
	f, err := newCrashFleet(r, trouble, poisonPart, true, "/lohu930/")
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return false, err
	}
	var wg sync.WaitGroup
	wg.Go(func() {
		time.Sleep(stickyStart)
		f.sendEach(stickyLength-stickyStart, stickyPause, func() prompt {
			return prompt{target: "/lohu930/2f", adapter: stickyAdapter, first: firstPart, poisoned: true}
		}, nil)
	})
	sound := f.soundTraffic(stickyLength, 100*time.Millisecond)
	wg.Wait()
	return f.concludeLate(sound)
}
