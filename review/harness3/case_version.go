//go:build review

package main

import (
	"fmt"
	"strings"
	"time"

	"shallotring.dev/platform/standin"
)

func init() { cases["version"] = playVersion }

// playVersion names a new version of an adapter while long prompts wait at an engine that has turned slow.
func playVersion(d *deployment, trouble bool) (result int, err error) {
	const (
		bound   = 5 * time.Second // version_ms
		slow    = 5.0
		slowFor = 6500 * time.Millisecond
	)
	for n := range 7 {
		e, err := d.addEngine(fmt.Sprintf("i-model%d", n+1), "llm", model, 64, false, "-reading", "38.1", "-events", "10", "-pace", "30ms")
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
	d.store.Declare(model, "a1", 1)
	d.store.Configure(7, []standin.Route{{Host: host, Prefix: "/stream/", Kind: "streaming", Service: "llm", Timeout: 10 * time.Second, LatencyGoal: time.Second, Engines: 1}},
		[]standin.Service{{Name: "llm", Model: model, AdapterSlots: 7}})
	if err = d.awaitReady(3 * time.Second); err != nil {
		return unknown, err
	}
	var callers []*caller
	for _, e := range d.entries {
		callers = append(callers, newCaller(d, e))
	}
	part := 0
	// The longest prompt of the class: 6,300 shared tokens and 39,600 of its own.
	long := func() request {
		part++
		return request{method: "POST", path: "/stream/1", model: model + "/a1", tokens: "45900,60", prefix: fmt.Sprintf("5c1e07a2:2520,91bd3f06:3780,e4402b%02x:39600", part), body: []byte("{}"), timeout: 10 * time.Second}
	}
	first := callers[0].send(long())
	engine := ""
	for _, l := range d.seen() {
		if l.What == "runs" && l.ID == first.ID {
			engine = l.Engine
		}
	}
	if engine == "" {
		return unknown, fmt.Errorf("the first request did not run: %+v", first)
	}
	time.Sleep(time.Second)
	if trouble {
		for _, e := range d.engines {
			if e.name == engine {
				d.record.say("%s turns slow, %g times", engine, slow)
				e.command(fmt.Sprint("slow ", slow))
				time.AfterFunc(slowFor, func() { e.command("slow 1") })
			}
		}
	}
	time.Sleep(100 * time.Millisecond)
	for n := range 3 {
		callers[n%2].wg.Go(func() { callers[n%2].send(long()) })
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(250 * time.Millisecond)
	d.store.Declare(model, "a1", 2)
	named := time.Now()
	d.record.say("version 2 of a1 is named and confirmed")
	time.Sleep(2 * time.Second)
	// Later requests run on the new version.
	for n := range 4 {
		callers[n%2].wg.Go(func() {
			x := long()
			x.prefix = fmt.Sprintf("5c1e07a2:2520,91bd3f06:3780,e4402b%02x:600", 100+n)
			callers[n%2].send(x)
		})
		time.Sleep(200 * time.Millisecond)
	}
	for _, c := range callers {
		c.wait()
	}
	late, runs := 0, 0
	for _, l := range d.seen() {
		if l.What != "runs" {
			continue
		}
		after := time.Duration(l.At-named.UnixMicro()) * time.Microsecond
		if runs++; strings.HasPrefix(l.Adapter, "a1@") {
			d.record.say("%s begins on %s at %s, %.2f s after the confirmation", l.ID, l.Adapter, l.Engine, after.Seconds())
		}
		if l.Adapter == "a1@1" && after > bound {
			late++
		}
	}
	d.record.say("%d of %d runs began on the older version later than %s", late, runs, bound)
	if late > 0 {
		return broken, nil
	}
	return held, nil
}
