//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() {
	cases["farpart"] = func(f *fleet, trouble bool) (broken int, err error) { return runFarPart(f, trouble, manyParts) }
	cases["nearpart"] = func(f *fleet, trouble bool) (broken int, err error) { return runFarPart(f, trouble, fewParts) }
}

const (
	// manyParts and fewParts are the numbers of parts that all prompts share.
	manyParts, fewParts = 70, 20
	farPoisonInterval   = 1500 * time.Millisecond
	// maxLate is the number of requests with the part that may reach engines later than contactMs after the fifth crash.
	maxLate, boundCrash = 3, 5
)

// runFarPart sends prompts that all begin with the same parts; in some, a part on which engines crash follows them.
func runFarPart(f *fleet, trouble bool, parts int) (broken int, err error) {
	c := unframedCase{service: "geo-llm", kind: "streaming", timeout: 5 * time.Second, servers: 6,
		server: serverOptions{Model: "daka510000", Pieces: 13, Interval: 40 * time.Millisecond, Type: "text/event-stream", Poison: poisonPart}}
	servers, restart, err := f.startFleet(c)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), calmTime+poisonTime)
	defer cancel()
	var mu sync.Mutex
	var crashes []time.Time
	var lifetimes []*instance
	var wg sync.WaitGroup
	for i := range servers {
		wg.Go(func() {
			for {
				mu.Lock()
				lifetimes = append(lifetimes, servers[i])
				mu.Unlock()
				select {
				case <-ctx.Done():
					return
				case <-servers[i].done:
				}
				mu.Lock()
				crashes = append(crashes, time.Now())
				n := len(crashes)
				mu.Unlock()
				f.note("engine %s crashed, crash %d", servers[i].ID, n)
				time.Sleep(enginesBack)
				if e := restart(i); e != nil {
					f.note("%v", e)
					return
				}
			}
		})
	}
	shared := firstPart + ":6300"
	for n := range parts - 1 {
		shared += fmt.Sprintf(",5d%06x:40", n)
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32, IdleConnTimeout: 10 * time.Second}}
	var sent, begun atomic.Int64
	every(ctx, &wg, time.Second/soundPerSecond, 0, func(n int) {
		id := fmt.Sprintf("a%015x", n)
		sent.Add(1)
		if f.sendPrompt(client, c, id, shared, "Summarise log "+id+".") {
			begun.Add(1)
		}
	})
	if trouble {
		every(ctx, &wg, farPoisonInterval, calmTime, func(n int) {
			id := fmt.Sprintf("b%015x", n)
			f.sendPrompt(client, c, id, shared+","+poisonPart+":410", "Summarise log "+id+".")
		})
	}
	wg.Wait()
	late := 0
	if len(crashes) >= boundCrash {
		slices.SortFunc(crashes, func(a, b time.Time) int { return a.Compare(b) })
		bound := crashes[boundCrash-1].Add(contactTime)
		for _, s := range lifetimes {
			b, err := os.ReadFile(s.log)
			if err != nil {
				return 0, err
			}
			for l := range strings.Lines(string(b)) {
				var at int64
				var what string
				if _, err := fmt.Sscan(l, &at, &what); err == nil && what == "poison" && time.UnixMilli(at).After(bound) {
					late++
				}
			}
		}
	}
	f.note("%d crashes; %d requests with the part reached engines later than contactMs after the fifth; %d of %d sound requests began", len(crashes), late, begun.Load(), sent.Load())
	if sent.Load() < minSound || trouble && len(crashes) == 0 {
		return 0, fmt.Errorf("too few requests or crashes")
	}
	return max(late-maxLate, 0), nil
}
