package direct_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"shallotring.dev/daemon/trial"
	"shallotring.dev/platform/standin"
)

const (
	// limitWindow is the time in which the platform's operators count the requests to an engine with a limit.
	limitWindow = 4 * time.Second
	// minLimitUse is the least share of a limit that callers get the use of while they have requests for it.
	minLimitUse = 0.5
)

// allowedCalls is the number of calls within limitWindow that the platform's operators allow for a limit of requests per second.
func allowedCalls(perSecond float64) int { return int(1.5*perSecond*limitWindow.Seconds()) + 5 }

// busiest returns the engines that get the most requests.
func (p *modelTraffic) busiest(n int) (list []*standin.Engine) {
	for _, e := range p.Engines {
		e.SetLimit(nil)
	}
	time.Sleep(2 * time.Second)
	list = slices.Clone(p.Engines)
	requests := func(e *standin.Engine) int {
		return standin.MostCalls(e.ReceivedCalls(), time.Time{}, time.Minute, standin.RequestCall)
	}
	slices.SortFunc(list, func(a, b *standin.Engine) int { return requests(b) - requests(a) })
	return list[:n]
}

// TestLimitOfEngineBindsAllEntries guards against incident LIMIT: an engine that named the rate of requests that it takes from all hosts
// together got as many as before, from all entries that it had told. The reports and orders of its agent are counted as well, since they
// are requests to the engine, too.
func TestLimitOfEngineBindsAllEntries(t *testing.T) {
	for _, c := range []struct {
		name      string
		size      trial.Size
		perSecond float64
		limited   int
		options   []standin.LimitOption
	}{
		{"one engine of four", trial.Size{Engines: 4, Entries: 4}, 1, 1, nil},
		{"six entries, less than one per second", trial.Size{Engines: 4, Entries: 6}, 0.25, 1, nil},
		{"no requests at all", trial.Size{Engines: 4, Entries: 3}, 0, 1, nil},
		{"named in responses to requests only", trial.Size{Engines: 4, Entries: 4}, 2, 1, []standin.LimitOption{standin.ExceptReports()}},
		{"all engines", trial.Size{Engines: 4, Entries: 4}, 2, 4, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			p := modelTraffic{adapters: c.size.Engines*trial.AdapterSlots - 1}
			p.deployment = deploySize(t, c.size, standin.WithPace(5, 20*time.Millisecond))
			p.sendUntilServed("/g/1", "ready", "m/a1")
			done := make(chan struct{})
			var callers sync.WaitGroup
			for i := range uint64(8) {
				callers.Go(func() { p.run(i, done) })
			}
			defer callers.Wait()
			defer close(done)
			time.Sleep(time.Second)
			limited := p.busiest(c.limited)
			for _, e := range limited {
				e.SetLimit([]string{fmt.Sprint(c.perSecond)}, c.options...)
			}
			start := time.Now().Add(contactTime)
			time.Sleep(contactTime + 2*limitWindow)
			share, sent := p.servedShare(start, time.Now().Add(-time.Second))
			received := 0
			for _, e := range limited {
				calls := e.ReceivedCalls()
				requests, all := standin.MostCalls(calls, start, limitWindow, standin.RequestCall), standin.MostCalls(calls, start, limitWindow)
				n := standin.MostCalls(calls, start, 2*limitWindow, standin.RequestCall)
				received += n
				t.Logf("%s: %d requests and %d calls in %s, allowed %d; %d requests in %s", e.ID(), requests, all, limitWindow, allowedCalls(c.perSecond), n, 2*limitWindow)
				if requests > allowedCalls(c.perSecond) {
					t.Errorf("%s got %d requests in %s, allowed %d", e.ID(), requests, limitWindow, allowedCalls(c.perSecond))
				}
				if all > allowedCalls(c.perSecond) {
					t.Errorf("%s got %d calls in %s, reports and orders included, allowed %d", e.ID(), all, limitWindow, allowedCalls(c.perSecond))
				}
			}
			t.Logf("%.2f of %d requests are served", share, sent)
			if use := float64(c.limited) * c.perSecond * 2 * limitWindow.Seconds(); float64(received) < minLimitUse*use-1 {
				t.Errorf("%d requests in %s, the limits allow %.0f", received, 2*limitWindow, use)
			}
			if c.limited < c.size.Engines && share < 0.95 {
				t.Errorf("%.2f of %d requests are served although other engines have no limit", share, sent)
			}
			lifted := time.Now()
			for _, e := range limited {
				e.LiftLimit()
			}
			waitFor(t, "the end of the limit is known", func() bool {
				return standin.MostCalls(limited[0].ReceivedCalls(), lifted, time.Second, standin.ReportCall) >= 8
			})
		})
	}
}

// TestLimitHoldsWhileProcessesChange guards against an excess over the limit of an engine, or an engine without any requests, while entries
// start and after the agent that hands out the sends has ended.
func TestLimitHoldsWhileProcessesChange(t *testing.T) {
	const perSecond = 2
	p := modelTraffic{adapters: 5}
	p.deployment = deploySize(t, trial.Size{Engines: 3, Entries: 4}, standin.WithPace(5, 20*time.Millisecond))
	p.sendUntilServed("/g/1", "ready", "m/a1")
	done := make(chan struct{})
	var callers sync.WaitGroup
	start := func(n int) {
		for i := range uint64(n) {
			callers.Go(func() { p.run(i, done) })
		}
	}
	start(8)
	defer callers.Wait()
	defer func() { close(done) }()
	time.Sleep(time.Second)
	limited := p.busiest(1)[0]
	limited.SetLimit([]string{fmt.Sprint(perSecond)})
	from := time.Now().Add(contactTime)
	time.Sleep(contactTime)
	// The callers must not see the list of entries change.
	close(done)
	callers.Wait()
	for i := range 2 {
		if err := p.AddEntry(fmt.Sprint("edge-late-", i)); err != nil {
			t.Fatal(err)
		}
	}
	done = make(chan struct{})
	start(8)
	time.Sleep(limitWindow)
	p.StopAgent(slices.Index(p.Engines, limited))
	// Entries know the adapters of an engine without its agent from discovery.
	limited.Register()
	stopped := time.Now()
	time.Sleep(2 * limitWindow)
	calls := limited.ReceivedCalls()
	most, after := standin.MostCalls(calls, from, limitWindow), standin.MostCalls(calls, stopped.Add(contactTime), limitWindow)
	t.Logf("%d calls in %s, allowed %d; %d after the end of the agent", most, limitWindow, allowedCalls(perSecond), after)
	if most > allowedCalls(perSecond) {
		t.Errorf("%d calls in %s, allowed %d", most, limitWindow, allowedCalls(perSecond))
	}
	if use := perSecond * limitWindow.Seconds(); float64(after) < minLimitUse/2*use {
		t.Errorf("%d calls in %s after the end of the agent, the limit allows %.0f", after, limitWindow, use)
	}
}

// TestLimitOfServiceBindsAllEntries guards against entries that exceed the limit of a service without agents, and against requests that
// wait for it without a chance to be served.
func TestLimitOfServiceBindsAllEntries(t *testing.T) {
	limitService(t, trial.Size{Engines: 1, Entries: 4})
}

// TestLimitHoldsWithoutAgents guards against entries that each use the whole limit of an endpoint because there is no agent from which they
// learn how many they are.
func TestLimitHoldsWithoutAgents(t *testing.T) {
	limitService(t, trial.Size{Entries: 4})
}

// limitService sends requests to a plain service that names a limit, through all entries.
func limitService(t *testing.T, size trial.Size) {
	t.Helper()
	const perSecond = 2
	d := deploySize(t, size)
	d.sendUntilServed("/o/1", "ready", "")
	d.Service.SetLimit([]string{fmt.Sprint(perSecond)})
	start := time.Now().Add(contactTime)
	end := start.Add(2 * limitWindow)
	var mu sync.Mutex
	served, refused := 0, 0
	var longestRefusal time.Duration
	var callers sync.WaitGroup
	for i := range 8 {
		callers.Go(func() {
			r := rand.New(rand.NewPCG(uint64(i), 1))
			for n := 0; time.Now().Before(end); n++ {
				sentAt := time.Now()
				status, header := d.exchange(r, d.ServiceRequest(fmt.Sprint("o-", i, "-", n)))
				mu.Lock()
				switch {
				case sentAt.Before(start):
				case status == http.StatusOK:
					served++
				case status == http.StatusServiceUnavailable && header.Get("Retry-After") != "":
					refused++
					longestRefusal = max(longestRefusal, time.Since(sentAt))
				default:
					t.Errorf("status %d, Retry-After %q", status, header.Get("Retry-After"))
				}
				mu.Unlock()
				time.Sleep(time.Duration(100+r.IntN(200)) * time.Millisecond)
			}
		})
	}
	callers.Wait()
	calls := d.Service.ReceivedCalls()
	most := standin.MostCalls(calls, start, limitWindow)
	t.Logf("%d calls in %s, allowed %d; %d served, %d refused, the longest after %s", most, limitWindow, allowedCalls(perSecond), served, refused, longestRefusal)
	if most > allowedCalls(perSecond) {
		t.Errorf("the service got %d requests in %s, allowed %d", most, limitWindow, allowedCalls(perSecond))
	}
	if use := perSecond * 2 * limitWindow.Seconds(); float64(served) < minLimitUse*use {
		t.Errorf("%d requests are served in %s, the limit allows %.0f", served, 2*limitWindow, use)
	}
}
