package live

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Options select a run.
type Options struct {
	Seed     uint64
	Duration time.Duration
	Engines  int
	Entries  int
	// Callers is the number of callers for each entry.
	Callers int
	// Overlap is the largest number of faults at the same time.
	Overlap int
	// Programs is the directory of the built programs, Dir that of settings and logs.
	Programs string
	Dir      string
	// Events prints each fault at its end.
	Events bool
}

// Result sums up a run.
type Result struct {
	Faults     int
	Violations int
	Counts     map[string]int
}

// Run runs the programs under faults and checks the guarantees; violations are printed as they occur.
func Run(ctx context.Context, o Options, out io.Writer) (r Result, err error) {
	defer func() { err = eris.Wrapf(err, "soak with seed %d", o.Seed) }()
	j := newJudge(out)
	j.events = o.Events
	d, err := open(o, j)
	if err != nil {
		if d != nil {
			err = errors.Join(err, d.close())
		}
		return r, err
	}
	random := rand.New(rand.NewPCG(o.Seed, 1))
	done := make(chan struct{})
	var wg sync.WaitGroup
	for _, e := range append(d.engines, d.plain...) {
		wg.Go(func() { e.beat(done) })
	}
	for _, e := range d.entries {
		wg.Go(func() { e.probe(done) })
	}
	wg.Go(func() { d.watchStarvation(done) })
	d.configure()
	if err = d.ready(ctx); err == nil {
		work, stop := context.WithCancel(ctx)
		for i := range o.Callers * o.Entries {
			c := &caller{d: d, name: fmt.Sprintf("c%d-%d", o.Seed, i), random: rand.New(rand.NewPCG(o.Seed, uint64(i)+2))}
			wg.Go(func() { c.run(work) })
		}
		r.Faults = d.play(ctx, random, o.Duration)
		d.recover(ctx)
		stop()
	}
	close(done)
	wg.Wait()
	err = errors.Join(err, d.close())
	j.budget()
	for _, e := range d.engines {
		for _, text := range e.Faults() {
			j.violate("orders", "%s: %s", e.name, text)
		}
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	r.Violations, r.Counts = j.violations, j.counts
	names := []string{}
	for name := range r.Counts {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		j.print("%s %d, ", name, r.Counts[name])
	}
	j.print("\nsoak of processes: seed=%d requests=%d faults=%d violations=%d\n", o.Seed, r.Counts["requests"], r.Faults, r.Violations)
	return r, err
}

// ready waits until all entries are in rotation.
func (d *deployment) ready(ctx context.Context) (err error) {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, e := range d.entries {
			if e.rotation.Load() {
				ready++
			}
		}
		if ready == len(d.entries) {
			// Engines load their model meanwhile.
			time.Sleep(time.Second)
			return ctx.Err()
		}
	}
	return eris.New("the entries are not ready after 20 s")
}

// recover checks that the system serves again once the faults have ended, and that nobody holds more memory than the platform
// gives.
func (d *deployment) recover(ctx context.Context) {
	select {
	case <-time.After(recovery):
	case <-ctx.Done():
		return
	}
	before := d.judge.count()
	time.Sleep(contact)
	after := d.judge.count()
	requests, served := after["requests"]-before["requests"], after["served"]-before["served"]
	if 4*served < requests || requests == 0 {
		d.judge.violate("recovery", "%d of %d requests are served %s after the last fault", served, requests, recovery)
	}
	for _, e := range d.entries {
		d.holds(e.process, entryMemory)
	}
	for _, e := range d.engines {
		d.holds(e.agent, agentMemory)
	}
}

// The memory that the platform gives to the processes, in bytes.
const (
	entryMemory = 284 << 20
	agentMemory = 216 << 20
)

func (d *deployment) holds(p *process, limit int64) {
	if used := p.memory(); used > limit {
		d.judge.violate("memory", "%s uses %d MiB of %d", p.host, used>>20, limit>>20)
	}
}

// probe keeps an entry in rotation as the platform does: two misses in a row take it out.
func (e *entry) probe(done <-chan struct{}) {
	client := http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	t := time.NewTicker(500 * time.Millisecond)
	defer t.Stop()
	for missed := 0; ; {
		r, err := client.Get("http://" + e.settings.Ready + "/ready")
		if err == nil {
			err = r.Body.Close()
		}
		if err != nil || r.StatusCode != http.StatusOK {
			missed++
		} else {
			missed = 0
		}
		e.rotation.Store(missed < 2)
		select {
		case <-done:
			return
		case <-t.C:
		}
	}
}
