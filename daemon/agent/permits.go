package agent

import (
	"context"
	"sync"
	"time"

	"github.com/coder/quartz"

	"shallotring.dev/state/ident"
	"shallotring.dev/state/permit"
	"shallotring.dev/state/resource"
)

// Permits grants permits to load adapters; it is safe for concurrent use.
type Permits interface {
	// Take requests up to wanted permits for loads; stalled is the waiting time summed over the tries that wait for them.
	Take(ctx context.Context, e ident.Endpoint, wanted int, stalled time.Duration) (g permit.Grant, err error)
	// Done reports that a load with a permit has ended.
	Done(e ident.Endpoint)
}

// FixedShare is this agent's part of the load budget: the load rate divided by the number of declared engines.
type FixedShare struct {
	configuration Configuration
	clock         quartz.Clock

	mu     sync.Mutex
	rate   float64
	budget *permit.Budget
}

// NewFixedShare returns a share that is computed from the configuration in force.
func NewFixedShare(c Configuration, clock quartz.Clock) *FixedShare {
	return &FixedShare{configuration: c, clock: clock}
}

// Take grants at most one permit at a time.
func (f *FixedShare) Take(_ context.Context, e ident.Endpoint, _ int, _ time.Duration) (g permit.Grant, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	if rate := f.loadRate(); rate != f.rate || f.budget == nil {
		f.rate, f.budget = rate, permit.New(rate, 1, now)
	}
	g.Expiry = permit.UnusedPermitTimeout
	if f.budget.Take(now, e) {
		g.Granted = 1
	}
	g.Wait = f.budget.Wait(now)
	return g, nil
}

// Done returns the permit of a load that has ended.
func (f *FixedShare) Done(e ident.Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.budget != nil {
		f.budget.Done(e)
	}
}

// loadRate is the agent's part of the load rate, in loads per second.
func (f *FixedShare) loadRate() float64 {
	set := f.configuration.Current()
	engines := 0
	for _, e := range set.Endpoints() {
		if e.Kind == resource.Engine {
			engines++
		}
	}
	return set.Policy().LoadsPerSecond / float64(max(engines, 1))
}
