//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["batch"] = playBatch }

// The ids of the first part of the reports and of the part on which engines crash.
const (
	reportFirstPart  = 0xe4402b7d
	reportPoisonPart = 0x1ed70c55
)

const (
	reportTarget = "/report/2f"
	// firstBatch and secondBatch are the times in which sound reports come. After quietTime, poisoned reports begin to come, aloneTime before
	// the second batch.
	firstBatch  = 12 * time.Second
	quietTime   = 20 * time.Second
	aloneTime   = 8 * time.Second
	secondBatch = 28 * time.Second
	reportPause = 250 * time.Millisecond
	poisonPause = 1500 * time.Millisecond
	// minSample is the least number of sound reports in either period.
	minSample = 20
)

// playBatch sends reports in two batches beside steady traffic of another route to the same engines. Between the batches, reports begin to come
// that have a part on which engines crash.
func playBatch(r *record, trouble bool) (broken bool, err error) {
	f, err := newCrashFleet(r, trouble, reportPoisonPart, false, "/lohu930/", "/report/")
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return false, err
	}
	var sound []outcome
	reports := func(period time.Duration) {
		f.sendEach(period, reportPause, func() prompt { return prompt{target: reportTarget, adapter: randomAdapter(), first: reportFirstPart} },
			func(o outcome) { sound = append(sound, o) })
	}
	var wg sync.WaitGroup
	wg.Go(func() { f.soundTraffic(firstBatch+quietTime+aloneTime+secondBatch, 150*time.Millisecond) })
	f.write("first batch of reports")
	reports(firstBatch)
	quietFrom := time.Now()
	f.write("no reports")
	time.Sleep(quietTime)
	f.write("reports with the part begin")
	wg.Go(func() {
		f.sendEach(aloneTime+secondBatch, poisonPause, func() prompt {
			return prompt{target: reportTarget, adapter: randomAdapter(), first: reportFirstPart, poisoned: true}
		}, nil)
	})
	time.Sleep(aloneTime)
	f.write("second batch of reports")
	reports(secondBatch)
	wg.Wait()
	if err = f.checkProcesses(); err != nil {
		return false, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	from, crash := quietFrom, min(len(f.crashes), countedCrashes)
	if crash > 0 {
		from = f.crashes[crash-1].Add(2 * contact)
	}
	before, after, begunBefore, begunAfter := 0, 0, 0, 0
	for _, o := range sound {
		switch {
		case o.sentAt.Before(quietFrom):
			if before++; f.started[o.id] {
				begunBefore++
			}
		case o.sentAt.After(from):
			if after++; f.started[o.id] {
				begunAfter++
			}
		}
	}
	if before < minSample || after < minSample {
		return false, fmt.Errorf("%d and %d sound reports, %d of each are needed", before, after, minSample)
	}
	return f.conclude(2*begunAfter*before < begunBefore*after, "%d of %d sound reports began at the first attempt before the disturbance, %d of %d later than %s after crash %d; %d crashes",
		begunBefore, before, begunAfter, after, 2*contact, crash, len(f.crashes)), nil
}
