//go:build review

package main

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"shallotring.dev/platform/standin"
)

func init() { cases["limit"] = playLimit }

// playLimit lets an engine of a plain service name a limit. The machine of one of five model engines loses the path to one of four entries; its agent hands
// out the sends to the limited engine. All other paths stay.
func playLimit(d *deployment, trouble bool) (result int, err error) {
	const (
		perSecond = 30.0
		window    = 4 * time.Second
		cutTime   = 5 * time.Second
	)
	for n := range 5 {
		e, err := d.addEngine(fmt.Sprintf("i-model%d", n+1), "llm", model, 64, true)
		if err != nil {
			return unknown, err
		}
		if err = d.addAgent(e); err != nil {
			return unknown, err
		}
	}
	desk, err := d.addEngine("i-desk1", "desk", "", 64, false, "-pace", "30ms", "-events", "1")
	if err != nil {
		return unknown, err
	}
	for range 4 {
		if err = d.addEntry(); err != nil {
			return unknown, err
		}
	}
	d.store.Configure(7, []standin.Route{
		{Host: host, Prefix: "/stream/", Kind: "streaming", Service: "llm", Timeout: 10 * time.Second, LatencyGoal: time.Second, Engines: 1},
		{Host: host, Prefix: "/order/", Kind: "non_idempotent", Service: "desk", Timeout: time.Second, LatencyGoal: 150 * time.Millisecond, Engines: 1},
	}, []standin.Service{{Name: "llm", Model: model, AdapterSlots: 7}, {Name: "desk"}})
	if err = d.awaitReady(3 * time.Second); err != nil {
		return unknown, err
	}
	desk.command(fmt.Sprintf("limit %g", perSecond))
	time.Sleep(50 * time.Millisecond)
	named := time.Now()
	var callers []*caller
	for _, e := range d.entries {
		c := newCaller(d, e)
		callers = append(callers, c)
		c.sendAll(40, 18*time.Second, func() request {
			return request{method: "POST", path: "/order/1", body: []byte("order"), timeout: time.Second}
		}, func(outcome) {})
	}
	time.Sleep(6 * time.Second)
	if trouble {
		cut := d.grantorProxy(desk.name)
		d.record.say("%.1f s: the path between %s and %s is lost", time.Since(named).Seconds(), d.entries[0].name, cut.target)
		cut.setCut(`"` + d.entries[0].name + `"`)
		time.AfterFunc(cutTime, func() { cut.setCut("") })
	}
	for _, c := range callers {
		c.wait()
	}
	from := named.Add(contact).UnixMicro()
	var at []int64
	for _, l := range d.seen() {
		if l.Engine == desk.name && l.What == "arrived" && l.At >= from {
			at = append(at, l.At)
		}
	}
	slices.Sort(at)
	most, first := 0, 0
	for i := range at {
		for at[i]-at[first] > window.Microseconds() {
			first++
		}
		most = max(most, i-first+1)
	}
	allowed := int(math.Floor(1.5*perSecond*window.Seconds() + 5))
	d.record.say("limit %g a second; most requests in %s: %d, allowed %d; %d in all", perSecond, window, most, allowed, len(at))
	if len(at) == 0 {
		return unknown, fmt.Errorf("no request reached the engine")
	}
	if most > allowed {
		return broken, nil
	}
	return held, nil
}

// grantorProxy returns the path to the agent that the entries choose to hand out the sends to an engine without an agent: the one with the highest hash.
func (d *deployment) grantorProxy(engine string) (p *proxy) {
	highest := uint64(0)
	for n, e := range d.engines {
		if e.model == "" {
			continue
		}
		if h := xxhash.Sum64String(d.address(2, n+1, controlPort) + "\x00" + engine); p == nil || h > highest {
			p, highest = d.proxies[2*n+1], h
		}
	}
	return p
}
