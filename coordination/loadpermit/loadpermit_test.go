package loadpermit

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/quartz"

	"shallotring.dev/coordination/registry"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/permit"
)

const (
	testRate          = 4
	testLoadsInFlight = 3
	// loadTime is shorter than the expiry of permits, so that the loads that one holder permitted have finished when the next
	// holder grants permits.
	loadTime = 1500 * time.Millisecond
	// shortLoadTime is so short that fixed shares reach their limit of loads per second before their limit of loads in flight.
	shortLoadTime = 250 * time.Millisecond
)

// loads counts the running loads of all agents.
type loads struct {
	mu         sync.Mutex
	running    int
	maxRunning int
	started    int
}

func (l *loads) add(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running += n
	l.started += max(n, 0)
	l.maxRunning = max(l.maxRunning, l.running)
}

// loadContinuously requests permits every 100 ms, as an agent with queued tries does, and uses each at once.
func loadContinuously(ctx context.Context, c *Client, e ident.Endpoint, l *loads, d time.Duration) {
	for ctx.Err() == nil {
		// Without a grant the number is zero.
		g, _ := c.Take(ctx, e, 2, time.Second)
		for range g.Granted {
			l.add(1)
			time.AfterFunc(d, func() {
				l.add(-1)
				c.Done(e)
			})
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// TestHoldersStayWithinBudget guards against two entries that together grant more loads than the budget. The role of the holder
// passes between them while calls fail, responses of the key-value service and of the holders are lost, and the service is
// slow.
func TestHoldersStayWithinBudget(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runCompetingHolders(t, rand.New(rand.NewPCG(seed, 1))) })
		})
	}
}

func runCompetingHolders(t *testing.T, r *rand.Rand) {
	var mu sync.Mutex
	nextFault := func(percent int) fault {
		mu.Lock()
		defer mu.Unlock()
		return randomFault(r, percent)
	}
	s, n, l := newStore(), newNetwork(), &loads{}
	s.chooseFault = func(string) fault { return nextFault(20) }
	n.chooseFault = func() fault { return nextFault(10) }
	p := newPolicy(testRate, testLoadsInFlight)
	ctx, cancel := context.WithCancel(context.Background())
	var work sync.WaitGroup
	for i := range 3 {
		e := ident.Endpoint(fmt.Sprintf("engine-%d", i))
		c := NewClient(s, n.granter, noShare{}, quartz.NewReal())
		work.Go(func() { loadContinuously(ctx, c, e, l, loadTime) })
	}
	for _, address := range []string{"a", "b"} {
		h := n.addHolder(s, p, address)
		work.Go(func() {
			for ctx.Err() == nil {
				mu.Lock()
				runTime := time.Duration(5+r.IntN(25)) * time.Second
				mu.Unlock()
				run, stop := context.WithTimeout(ctx, runTime)
				_ = h.Run(run)
				stop()
			}
		})
	}
	// The draws depend on the order of the goroutines, so a run may have to go on until both entries have granted permits.
	for i := 0; i < 30 || (n.holderCount() < 2 && i < 300); i++ {
		time.Sleep(10 * time.Second)
		mu.Lock()
		delay := time.Duration(r.IntN(3)) * 400 * time.Millisecond
		mu.Unlock()
		s.mu.Lock()
		s.delay = delay
		s.mu.Unlock()
	}
	cancel()
	work.Wait()
	time.Sleep(time.Minute) // lets the last loads finish
	n.checkGrants(t)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.maxRunning > testLoadsInFlight {
		t.Errorf("%d loads in flight", l.maxRunning)
	}
}

// TestFixedSharesEndWithNewHolder guards against agents that still use their fixed shares while a new holder grants permits,
// which would double the rate.
func TestFixedSharesEndWithNewHolder(t *testing.T) {
	const agents = 3
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 2))
			s, n, l := newStore(), newNetwork(), &loads{}
			ctx, cancel := context.WithCancel(context.Background())
			var work sync.WaitGroup
			for i := range agents {
				e := ident.Endpoint(fmt.Sprintf("engine-%d", i))
				c := NewClient(s, n.granter, newFixedShare(n, agents), quartz.NewReal())
				work.Go(func() { loadContinuously(ctx, c, e, l, shortLoadTime) })
				time.Sleep(time.Duration(r.IntN(1000)) * time.Millisecond)
			}
			h := n.addHolder(s, newPolicy(testRate, 100), "a")
			for range 3 {
				time.Sleep(2*registry.LeaseTime + time.Duration(r.IntN(3000))*time.Millisecond)
				run, stop := context.WithTimeout(ctx, registry.LeaseTime)
				_ = h.Run(run)
				stop()
			}
			cancel()
			work.Wait()
			time.Sleep(time.Minute)
			n.mu.Lock()
			defer n.mu.Unlock()
			n.checkRate(t)
			grantCounts := map[string]int{}
			for _, g := range n.grants {
				grantCounts[g.holder]++
			}
			if len(grantCounts) != agents+1 {
				t.Errorf("grants by holder and shares: %v", grantCounts)
			}
		})
	}
}

// checkGrants verifies that all grants respect the rate and that each new holder waits before it grants.
func (n *network) checkGrants(t *testing.T) {
	t.Helper()
	n.mu.Lock()
	defer n.mu.Unlock()
	for i, last := range n.grants {
		if i > 0 && n.grants[i-1].holder != last.holder && last.at.Sub(n.grants[i-1].at) < permit.UnusedPermitTimeout {
			t.Errorf("%s grants %v after %s", last.holder, last.at.Sub(n.grants[i-1].at), n.grants[i-1].holder)
		}
	}
	n.checkRate(t)
	if holders := n.holderCountLocked(); holders < 2 || len(n.grants) < 100 {
		t.Errorf("%d grants of %d holders are too few for a result", len(n.grants), holders)
	}
}

// holderCount returns the number of entries that have granted permits.
func (n *network) holderCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.holderCountLocked()
}

func (n *network) holderCountLocked() int {
	holders := map[string]bool{}
	for _, g := range n.grants {
		holders[g.holder] = true
	}
	return len(holders)
}

// checkRate verifies that the grants of each period of the run respect the rate.
func (n *network) checkRate(t *testing.T) {
	t.Helper()
	for i, last := range n.grants {
		for j, first := range n.grants[:i] {
			// A second's worth of unused permits may be granted at once.
			if limit := testRate + testRate*last.at.Sub(first.at).Seconds(); float64(i-j+1) > limit+1e-6 {
				t.Fatalf("%d grants in %v", i-j+1, last.at.Sub(first.at))
			}
		}
	}
}

// TestFixedShareOnlyAfterLeaseTime guards against an agent that uses its fixed share while there is a holder, and against one
// that never loads again without a holder.
func TestFixedShareOnlyAfterLeaseTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, n, share := newStore(), newNetwork(), &countingShare{}
		h := n.addHolder(s, newPolicy(testRate, testLoadsInFlight), "a")
		c := NewClient(s, n.granter, share, quartz.NewReal())
		ctx := t.Context()
		if err := h.step(ctx); err != nil {
			t.Fatal(err)
		}
		take := func() int {
			g, err := c.Take(ctx, "e", 1, time.Second)
			if err != nil {
				return 0
			}
			return g.Granted
		}
		take()
		// Single calls fail, with more than a lease time between them.
		n.chooseFault = func() fault { return callRefused }
		for range 3 {
			time.Sleep(3 * registry.LeaseTime)
			if take() != 0 || share.taken != 0 {
				t.Fatal("fixed share in use after a single failure")
			}
		}
		unreachableSince := time.Now()
		for share.taken == 0 {
			if time.Since(unreachableSince) > 2*registry.LeaseTime {
				t.Fatal("no fixed share although no holder responds")
			}
			time.Sleep(100 * time.Millisecond)
			take()
		}
		if d := time.Since(unreachableSince); d <= registry.LeaseTime {
			t.Errorf("fixed share after %v", d)
		}
		c.Done("e")
		if share.done != 1 {
			t.Error("the finished load was not reported once to the fixed share")
		}
		n.chooseFault = func() fault { return noFault }
		if err := h.step(ctx); err == nil {
			t.Fatal("no error although the lease has expired without a keep-alive")
		}
		if err := h.step(ctx); err != nil {
			t.Fatal(err)
		}
		taken := share.taken
		time.Sleep(permit.UnusedPermitTimeout + lookupInterval)
		take() // a new budget has no permits to grant at the first request
		time.Sleep(time.Second)
		if take() != 1 || share.taken != taken {
			t.Errorf("the holder's response is not used: share taken %d times", share.taken-taken)
		}
	})
}

// TestFinishedLoadsReturnPermits guards against permits that are not freed when their loads finish, and against a finished load
// that is reported twice because the holder's response was lost.
func TestFinishedLoadsReturnPermits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, n := newStore(), newNetwork()
		h := n.addHolder(s, newPolicy(testRate, testLoadsInFlight), "a")
		c := NewClient(s, n.granter, &countingShare{}, quartz.NewReal())
		go func() { _ = h.Run(t.Context()) }()
		time.Sleep(permit.UnusedPermitTimeout + time.Second)
		take := func() (granted int) {
			time.Sleep(2 * time.Second) // long enough that the rate does not limit
			g, _ := c.Take(t.Context(), "e", testLoadsInFlight+1, time.Second)
			return g.Granted
		}
		take() // starts the budget
		if got := take(); got != testLoadsInFlight {
			t.Fatalf("granted %d, want %d", got, testLoadsInFlight)
		}
		if got := take(); got != 0 {
			t.Errorf("granted %d over the limit", got)
		}
		c.Done("e")
		if got := take(); got != 1 {
			t.Errorf("granted %d after one load finished", got)
		}
		n.chooseFault = func() fault { return responseLost }
		c.Done("e")
		synctest.Wait()
		n.chooseFault = func() fault { return noFault }
		time.Sleep(lookupInterval)
		if got := take(); got > 1 {
			t.Errorf("granted %d after one load finished whose report got no response", got)
		}
	})
}

// TestHolderStopsBeforeLeaseExpires guards against a holder that cannot reach the key-value service and still grants permits after
// its lease has expired and another entry has become the holder.
func TestHolderStopsBeforeLeaseExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		s := newStore()
		p := newPolicy(testRate, testLoadsInFlight)
		first := n.addHolder(s, p, "a")
		if err := first.step(t.Context()); err != nil {
			t.Fatal(err)
		}
		acquiredAt := time.Now()
		s.chooseFault = func(string) fault { return callRefused }
		for time.Since(acquiredAt) < registry.LeaseTime-time.Second {
			_ = first.step(t.Context())
			time.Sleep(100 * time.Millisecond)
		}
		if _, err := first.Permit(t.Context(), nil); err == nil {
			t.Error("a holder grants although its lease may expire before the load starts")
		}
		s.chooseFault = func(string) fault { return noFault }
		time.Sleep(time.Second)
		second := n.addHolder(s, p, "b")
		if err := second.step(t.Context()); err != nil || second.lease == 0 {
			t.Fatal("no new holder after the lease expired", err)
		}
		if _, err := first.Permit(t.Context(), nil); err == nil {
			t.Error("two holders grant")
		}
	})
}

// TestLoadOfPreviousHolder guards against a load that finishes after the holder changed and frees a permit of the new holder,
// although the previous holder had granted it.
func TestLoadOfPreviousHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, n := newStore(), newNetwork()
		p := newPolicy(testRate, testLoadsInFlight)
		c := NewClient(s, n.granter, noShare{}, quartz.NewReal())
		take := func() (granted int) {
			time.Sleep(2 * time.Second)
			g, _ := c.Take(t.Context(), "e", 1, time.Second)
			return g.Granted
		}
		for _, address := range []string{"a", "b"} {
			h := n.addHolder(s, p, address)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			stopped := make(chan struct{})
			go func() {
				defer close(stopped)
				_ = h.Run(ctx)
			}()
			time.Sleep(lookupInterval)
			for take() == 0 {
			}
			if address == "b" {
				break
			}
			cancel()
			<-stopped
		}
		granted := 1
		for granted < testLoadsInFlight {
			granted += take()
		}
		c.Done("e") // it may be the load of the previous holder
		if got := take(); got != 0 {
			t.Errorf("%d loads of the current holder in flight", granted+got)
		}
		c.Done("e")
		if got := take(); got != 1 {
			t.Errorf("granted %d after a load of the current holder finished", got)
		}
	})
}

// TestAcquireResponseLost guards against an entry that grants permits without the lease, and against a lease that stays without
// a holder, when a response is lost while the entry acquires the lease.
func TestAcquireResponseLost(t *testing.T) {
	for _, operation := range []string{"grant", "swap", "revoke"} {
		t.Run(operation, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, n := newStore(), newNetwork()
				p := newPolicy(testRate, testLoadsInFlight)
				first, second := n.addHolder(s, p, "a"), n.addHolder(s, p, "b")
				s.chooseFault = func(op string) fault {
					if op == operation || (operation == "revoke" && op == "swap") {
						return responseLost
					}
					return noFault
				}
				if err := first.step(t.Context()); err == nil || first.lease != 0 {
					t.Fatalf("acquire without a response: %v, lease %d", err, first.lease)
				}
				s.chooseFault = func(string) fault { return noFault }
				// The record may remain until its lease expires.
				time.Sleep(registry.LeaseTime)
				if err := second.step(t.Context()); err != nil || second.lease == 0 {
					t.Fatalf("next holder: %v", err)
				}
				if err := first.step(t.Context()); err != nil || first.lease != 0 {
					t.Errorf("the first entry failed or became the holder although the second entry is the holder: %v", err)
				}
				if _, err := n.granter("a").Permit(t.Context(), nil); err == nil {
					t.Error("a process without the lease grants")
				}
			})
		})
	}
}

// TestDoneDoesNotWaitForTheService guards against a control loop of the agent that is blocked while the key-value service is slow.
func TestDoneDoesNotWaitForTheService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, n := newStore(), newNetwork()
		s.delay = time.Minute
		c := NewClient(s, n.granter, &countingShare{}, quartz.NewReal())
		go func() { _, _ = c.Take(t.Context(), "e", 1, time.Second) }()
		synctest.Wait()
		start := time.Now()
		c.Done("e")
		if d := time.Since(start); d != 0 {
			t.Errorf("Done took %v of the test clock", d)
		}
		time.Sleep(2 * time.Minute)
	})
}

// TestMostStalledWorkGoesFirst guards against a holder that ignores how much work waits for a load and grants the next permit to
// the agent that requests first.
func TestMostStalledWorkGoesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, n := newStore(), newNetwork()
		h := n.addHolder(s, newPolicy(1, testLoadsInFlight), "a")
		go func() { _ = h.Run(t.Context()) }()
		time.Sleep(permit.UnusedPermitTimeout + time.Second)
		stalled := map[ident.Endpoint]time.Duration{"few": 100 * time.Millisecond, "many": 3 * time.Second}
		clients := make(map[ident.Endpoint]*Client)
		for e := range stalled {
			clients[e] = NewClient(s, n.granter, noShare{}, quartz.NewReal())
		}
		take := func(e ident.Endpoint) permit.Grant {
			g, err := clients[e].Take(t.Context(), e, 1, stalled[e])
			if err != nil {
				t.Fatal(err)
			}
			return g
		}
		// The budget starts empty, so both are refused at first; the endpoint with less stalled work requests first each time.
		for {
			few, many := take("few"), take("many")
			if few.Granted > 0 {
				t.Fatal("the permit went to the request with less stalled work")
			}
			if few.Wait <= 0 {
				t.Error("no expected wait in the response to a refused request")
			}
			if many.Granted > 0 {
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
}
