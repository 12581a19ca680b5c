//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() {
	cases["popular"] = runPopular
	cases["popular-framed"] = func(f *fleet, trouble bool) (broken int, err error) { return runPopularAt(f, trouble, false) }
}

const (
	// firstPart is the part that all prompts begin with, poisonPart that on which engines crash.
	firstPart, poisonPart = "5c1e07a2", "91bd3f06"
	soundPerSecond        = 40
	poisonInterval        = 120 * time.Millisecond
	calmTime, poisonTime  = 8 * time.Second, 50 * time.Second
	contactTime           = 3 * time.Second
	// enginesBack is the time after which an engine that has crashed is back.
	enginesBack = 2 * time.Second
	// minSound is the least number of sound requests that the rule compares.
	minSound = 20
)

func runPopular(f *fleet, trouble bool) (broken int, err error) {
	return runPopularAt(f, trouble, true)
}

// runPopularAt sends sound requests that are alike, and others with a part on which engines crash.
func runPopularAt(f *fleet, trouble, unframed bool) (broken int, err error) {
	c := unframedCase{service: "geo-llm", kind: "streaming", timeout: 5 * time.Second, servers: 6,
		server: serverOptions{Model: "daka510000", Unframed: unframed, Pieces: 13, Interval: 40 * time.Millisecond, Type: "text/event-stream", Poison: poisonPart}}
	servers, restart, err := f.startFleet(c)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), calmTime+poisonTime)
	defer cancel()
	var crashes, lastCrash atomic.Int64
	var wg sync.WaitGroup
	for i := range servers {
		wg.Go(func() {
			for {
				select {
				case <-ctx.Done():
					return
				case <-servers[i].done:
				}
				n := crashes.Add(1)
				if n <= 5 {
					lastCrash.Store(time.Now().UnixNano())
				}
				f.note("engine %s crashed, crash %d", servers[i].ID, n)
				time.Sleep(enginesBack)
				if e := restart(i); e != nil {
					f.note("%v", e)
					return
				}
			}
		})
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32, IdleConnTimeout: 10 * time.Second}}
	// begun and sent count the sound requests before the trouble and in the time that the rule compares.
	var sent, begun [2]atomic.Int64
	start := time.Now()
	every(ctx, &wg, time.Second/soundPerSecond, 0, func(n int) {
		at := time.Now()
		period := 0
		if at.Sub(start) > calmTime {
			last := lastCrash.Load()
			if trouble && (last == 0 || at.Sub(time.Unix(0, last)) < 2*contactTime) {
				period = -1
			} else {
				period = 1
			}
		}
		ok := f.sendPrompt(client, c, fmt.Sprintf("a%015x", n), firstPart+":6300", "Summarise the borehole log of box B-17.")
		if period < 0 {
			return
		}
		sent[period].Add(1)
		if ok {
			begun[period].Add(1)
		}
	})
	if trouble {
		every(ctx, &wg, poisonInterval, calmTime, func(n int) {
			id := fmt.Sprintf("b%015x", n)
			f.sendPrompt(client, c, id, firstPart+":6300,"+poisonPart+":410", "Summarise log "+id+".")
		})
	}
	wg.Wait()
	before, after := [2]int64{begun[0].Load(), sent[0].Load()}, [2]int64{begun[1].Load(), sent[1].Load()}
	f.note("%d crashes; sound requests that began: %d of %d before, %d of %d from 2 x contactMs after the fifth crash, or the last one", crashes.Load(), before[0], before[1], after[0], after[1])
	if before[1] < minSound || after[1] < minSound || trouble && crashes.Load() == 0 {
		return 0, fmt.Errorf("too few requests or crashes")
	}
	if 2*after[0]*before[1] < before[0]*after[1] {
		return 1, nil
	}
	return 0, nil
}

// every calls send at an interval after a delay, each time in a goroutine, until the context ends.
func every(ctx context.Context, wg *sync.WaitGroup, interval, delay time.Duration, send func(n int)) {
	wg.Go(func() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
		}
		t := time.NewTicker(interval)
		defer t.Stop()
		for n := 1; ; n++ {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
			}
			wg.Go(func() { send(n) })
		}
	})
}

// sendPrompt sends a prompt and reports whether its answer began with success.
func (f *fleet) sendPrompt(client *http.Client, c unframedCase, id, shared, text string) (ok bool) {
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout+time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.at(1, 1, frontPort)+"/lohu930/2f", strings.NewReader(text))
	if err != nil {
		return false
	}
	r.Host = "ficu95.example"
	for name, value := range map[string]string{"Attempt-Id": id, "Deadline-Ms": fmt.Sprint(c.timeout.Milliseconds()), "Model": c.server.Model, "Token-Usage": "6560,52",
		"Prompt-Prefix": shared + "," + id[:1] + id[8:] + ":250"} {
		r.Header.Set("Shallotring-"+name, value)
	}
	f.note("request %s sent", id)
	resp, err := client.Do(r)
	if err != nil {
		f.note("request %s: no answer: %v", id, err)
		return false
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	f.note("request %s: status %d, Retry-After %q, %d bytes, error %v", id, resp.StatusCode, resp.Header.Get("Retry-After"), len(b), err)
	return resp.StatusCode == http.StatusOK && len(b) > 0
}
