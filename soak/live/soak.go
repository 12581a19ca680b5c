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

// Options are the settings of a run.
type Options struct {
	Seed     uint64
	Duration time.Duration
	Engines  int
	Entries  int
	// Callers is the number of callers for each entry.
	Callers int
	// Overlap is the maximum number of simultaneous faults.
	Overlap int
	// Programs is the directory of the built programs. Dir is the directory of their settings and logs.
	Programs string
	Dir      string
	// Events selects whether each fault is printed at its end.
	Events bool
}

// Result is the summary of a run.
type Result struct {
	Faults     int
	Violations int
	Counts     map[string]int
}

// Run runs the programs under faults and checks the guarantees; violations are printed as they occur.
func Run(ctx context.Context, o Options, out io.Writer) (r Result, err error) {
	defer func() { err = eris.Wrapf(err, "soak with seed %d", o.Seed) }()
	j := newJudge(out)
	j.printEvents = o.Events
	d, err := openDeployment(o, j)
	if err != nil {
		if d != nil {
			err = errors.Join(err, d.close())
		}
		return r, err
	}
	random := rand.New(rand.NewPCG(o.Seed, 1))
	done := make(chan struct{})
	var wg sync.WaitGroup
	for _, e := range append(d.engines, d.plainEndpoints...) {
		wg.Go(func() { e.sendHeartbeats(done) })
	}
	for _, e := range d.entries {
		wg.Go(func() { e.probeReadiness(done) })
	}
	wg.Go(func() { d.watchStarvation(done) })
	d.configure()
	if err = d.waitUntilReady(ctx); err == nil {
		callerContext, stop := context.WithCancel(ctx)
		for i := range o.Callers * o.Entries {
			c := &caller{deployment: d, name: fmt.Sprintf("c%d-%d", o.Seed, i), random: rand.New(rand.NewPCG(o.Seed, uint64(i)+2)), keys: rand.New(rand.NewPCG(o.Seed, 1<<36+uint64(i)))}
			wg.Go(func() { c.run(callerContext) })
		}
		r.Faults = d.injectFaults(ctx, random, o.Duration)
		d.checkRecovery(ctx)
		stop()
	}
	close(done)
	wg.Wait()
	err = errors.Join(err, d.close())
	j.checkRetryBudget()
	for _, e := range d.engines {
		for _, text := range e.Violations() {
			j.addViolation("orders", "%s: %s", e.name, text)
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
		j.printLocked("%s %d, ", name, r.Counts[name])
	}
	j.printLocked("\nsoak of processes: seed=%d requests=%d faults=%d violations=%d\n", o.Seed, r.Counts["requests"], r.Faults, r.Violations)
	return r, err
}

// waitUntilReady waits until all entries are in rotation.
func (d *deployment) waitUntilReady(ctx context.Context) (err error) {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, e := range d.entries {
			if e.inRotation.Load() {
				ready++
			}
		}
		if ready == len(d.entries) {
			// Engines still load their model at this point.
			time.Sleep(time.Second)
			return ctx.Err()
		}
	}
	return eris.New("the entries are not ready after 20 s")
}

// checkRecovery checks that the system serves requests again after the last fault, and that no process uses more memory than the
// platform allows.
func (d *deployment) checkRecovery(ctx context.Context) {
	select {
	case <-time.After(recoveryTimeout):
	case <-ctx.Done():
		return
	}
	before := d.judge.copyCounts()
	time.Sleep(quietPeriod)
	after := d.judge.copyCounts()
	requests, served := after["requests"]-before["requests"], after["served"]-before["served"]
	if 4*served < requests || requests == 0 {
		d.judge.addViolation("recovery", "%d of %d requests are served %s after the last fault", served, requests, recoveryTimeout)
	}
	for _, e := range d.entries {
		d.checkMemory(e.process, entryMemoryBytes)
	}
	for _, e := range d.engines {
		d.checkMemory(e.agent, agentMemoryBytes)
	}
}

// Memory limits of the platform for entry and agent processes.
const (
	entryMemoryBytes = 284 << 20
	agentMemoryBytes = 216 << 20
)

func (d *deployment) checkMemory(p *process, limit int64) {
	if used := p.peakMemory(); used > limit {
		d.judge.addViolation("memory", "%s uses %d MiB, limit %d MiB", p.host, used>>20, limit>>20)
	}
}

// probeReadiness polls the readiness check of an entry as the platform does. Two failures in a row take the entry out of rotation.
func (e *entry) probeReadiness(done <-chan struct{}) {
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
		e.inRotation.Store(missed < 2)
		select {
		case <-done:
			return
		case <-t.C:
		}
	}
}
