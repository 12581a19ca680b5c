//go:build review

package main

import (
	"fmt"
	"syscall"
	"time"

	"shallotring.dev/platform/standin"
)

func init() { cases["order"] = playOrder }

// playOrder kills one of six engines whose answers have neither a length nor chunks while streams run there.
func playOrder(d *deployment, trouble bool) (result int, err error) {
	const events = 12
	for n := range 6 {
		e, err := d.addEngine(fmt.Sprintf("i-model%d", n+1), "llm", model, 64, false, "-unframed", "-events", fmt.Sprint(events), "-pace", "100ms")
		if err != nil {
			return unknown, err
		}
		if err = d.addAgent(e); err != nil {
			return unknown, err
		}
	}
	for range 2 {
		if err = d.addEntry(); err != nil {
			return unknown, err
		}
	}
	d.store.Configure(7, []standin.Route{{Host: host, Prefix: "/stream/", Kind: "streaming", Service: "llm", Timeout: 10 * time.Second, LatencyGoal: time.Second, Engines: 1}},
		[]standin.Service{{Name: "llm", Model: model, AdapterSlots: 7}})
	if err = d.awaitReady(3 * time.Second); err != nil {
		return unknown, err
	}
	var callers []*caller
	got := make(chan outcome, 10000)
	for _, e := range d.entries {
		c := newCaller(d, e)
		callers = append(callers, c)
		c.sendAll(20, 6*time.Second, func() request {
			return request{method: "POST", path: "/stream/1", model: model, tokens: "800,60", prefix: "5c1e07a2:600,91bd3f06:200", body: []byte("{}"), timeout: 10 * time.Second}
		}, func(o outcome) { got <- o })
	}
	time.Sleep(3 * time.Second)
	if trouble {
		d.record.say("%s is killed", d.engines[0].name)
		d.engines[0].signal(syscall.SIGKILL)
	}
	for _, c := range callers {
		c.wait()
	}
	close(got)
	whole, short, cut, other := 0, 0, 0, 0
	for o := range got {
		switch {
		case o.Status == 200 && o.Complete && o.Pieces == events:
			whole++
		case o.Status == 200 && o.Complete:
			short++
			if short <= 5 {
				d.record.say("%s: status 200, the stream ended as complete after %d of %d events", o.ID, o.Pieces, events)
			}
		case o.Status == 200:
			cut++
		default:
			other++
		}
	}
	d.record.say("%d streams whole, %d ended as complete before their last event, %d broken off, %d without a stream", whole, short, cut, other)
	switch {
	case whole == 0:
		return unknown, fmt.Errorf("no stream came through")
	case short > 0:
		return broken, nil
	}
	return held, nil
}
