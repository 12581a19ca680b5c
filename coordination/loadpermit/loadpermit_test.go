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
	rate     = 4
	inFlight = 3
	// loadTime is shorter than the expiry of permits, so that loads of a former holder have ended when the next one grants.
	loadTime = 1500 * time.Millisecond
	// shortLoad lets the rate, not the loads in flight, bound the fixed shares.
	shortLoad = 250 * time.Millisecond
)

// loads counts the loads of all agents that run at the same time.
type loads struct {
	mu      sync.Mutex
	running int
	most    int
	begun   int
}

func (l *loads) add(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running += n
	l.begun += max(n, 0)
	l.most = max(l.most, l.running)
}

// loadOn asks for permits all the time, as an agent with waiting requests does, and uses each at once.
func loadOn(ctx context.Context, c *Client, e ident.Endpoint, l *loads, d time.Duration) {
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

// Guards against two entries that together grant more loads than the budget, while one takes over from the other, answers
// of the key-value service and of the holders are lost, and the service is slow.
func TestHoldersStayWithinTheBudget(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { compete(t, rand.New(rand.NewPCG(seed, 1))) })
		})
	}
}

func compete(t *testing.T, r *rand.Rand) {
	var mu sync.Mutex
	draw := func(percent int) fault {
		mu.Lock()
		defer mu.Unlock()
		return chance(r, percent)
	}
	s, n, l := newStore(), newNetwork(), &loads{}
	s.fail = func(string) fault { return draw(20) }
	n.fail = func() fault { return draw(10) }
	p := newPolicy(rate, inFlight)
	ctx, cancel := context.WithCancel(context.Background())
	var work sync.WaitGroup
	for i := range 3 {
		e := ident.Endpoint(fmt.Sprintf("engine-%d", i))
		c := NewClient(s, n.granter, noShare{}, quartz.NewReal())
		work.Go(func() { loadOn(ctx, c, e, l, loadTime) })
	}
	for _, address := range []string{"a", "b"} {
		h := n.add(s, p, address)
		work.Go(func() {
			for ctx.Err() == nil {
				mu.Lock()
				life := time.Duration(5+r.IntN(25)) * time.Second
				mu.Unlock()
				run, stop := context.WithTimeout(ctx, life)
				_ = h.Run(run)
				stop()
			}
		})
	}
	for range 30 {
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
	time.Sleep(time.Minute) // the last loads end
	n.check(t)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.most > inFlight {
		t.Errorf("%d loads in flight", l.most)
	}
}

// Guards against agents that still use their fixed shares while a new holder grants, which would double the rate.
func TestFixedSharesGiveWayToAHolder(t *testing.T) {
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
				work.Go(func() { loadOn(ctx, c, e, l, shortLoad) })
				time.Sleep(time.Duration(r.IntN(1000)) * time.Millisecond)
			}
			h := n.add(s, newPolicy(rate, 100), "a")
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
			by := map[string]int{}
			for _, g := range n.grants {
				by[g.holder]++
			}
			if len(by) != agents+1 {
				t.Errorf("grants by holder and shares: %v", by)
			}
		})
	}
}

// check compares all grants with the rate and with the wait at each change of the holder.
func (n *network) check(t *testing.T) {
	t.Helper()
	n.mu.Lock()
	defer n.mu.Unlock()
	holders := map[string]bool{}
	for i, last := range n.grants {
		holders[last.holder] = true
		if i > 0 && n.grants[i-1].holder != last.holder && last.at.Sub(n.grants[i-1].at) < permit.Expiry {
			t.Errorf("%s grants %v after %s", last.holder, last.at.Sub(n.grants[i-1].at), n.grants[i-1].holder)
		}
	}
	n.checkRate(t)
	if len(holders) < 2 || len(n.grants) < 100 {
		t.Errorf("%d grants of %d holders show nothing", len(n.grants), len(holders))
	}
}

// checkRate compares each part of the run with the rate.
func (n *network) checkRate(t *testing.T) {
	t.Helper()
	for i, last := range n.grants {
		for j, first := range n.grants[:i] {
			// A second's worth of unused permits may be granted at once.
			if limit := rate + rate*last.at.Sub(first.at).Seconds(); float64(i-j+1) > limit+1e-6 {
				t.Fatalf("%d grants in %v", i-j+1, last.at.Sub(first.at))
			}
		}
	}
}

// Guards against the fixed share in use while there is a holder, and against loads that stop for good without one.
func TestFixedShareOnlyAfterALeaseTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, n, share := newStore(), newNetwork(), &countingShare{}
		h := n.add(s, newPolicy(rate, inFlight), "a")
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
		// Single calls are lost, with more than a lease time between them.
		n.fail = func() fault { return refused }
		for range 3 {
			time.Sleep(3 * registry.LeaseTime)
			if take() != 0 || share.taken != 0 {
				t.Fatal("fixed share in use after a single failure")
			}
		}
		lostAt := time.Now()
		for share.taken == 0 {
			if time.Since(lostAt) > 2*registry.LeaseTime {
				t.Fatal("no fixed share although no holder answers")
			}
			time.Sleep(100 * time.Millisecond)
			take()
		}
		if d := time.Since(lostAt); d <= registry.LeaseTime {
			t.Errorf("fixed share after %v", d)
		}
		c.Done("e")
		if share.done != 1 {
			t.Error("the load of the fixed share is not returned to it")
		}
		n.fail = func() fault { return none }
		if err := h.step(ctx); err == nil {
			t.Fatal("the lease has expired without a keep-alive")
		}
		if err := h.step(ctx); err != nil {
			t.Fatal(err)
		}
		taken := share.taken
		time.Sleep(permit.Expiry + lookupInterval)
		take() // the new holder has no permits to grant at its first call
		time.Sleep(time.Second)
		if take() != 1 || share.taken != taken {
			t.Errorf("the holder's answer is not used: share taken %d times", share.taken-taken)
		}
	})
}

// Guards against permits that stay taken after their loads, and against an ended load that is counted twice because the
// answer of the holder was lost.
func TestEndedLoadsReturnTheirPermits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, n := newStore(), newNetwork()
		h := n.add(s, newPolicy(rate, inFlight), "a")
		c := NewClient(s, n.granter, &countingShare{}, quartz.NewReal())
		go func() { _ = h.Run(t.Context()) }()
		time.Sleep(permit.Expiry + time.Second)
		take := func() (granted int) {
			time.Sleep(2 * time.Second) // the rate is no limit here
			g, _ := c.Take(t.Context(), "e", inFlight+1, time.Second)
			return g.Granted
		}
		take() // starts the budget
		if got := take(); got != inFlight {
			t.Fatalf("granted %d, want %d", got, inFlight)
		}
		if got := take(); got != 0 {
			t.Errorf("granted %d over the limit", got)
		}
		c.Done("e")
		if got := take(); got != 1 {
			t.Errorf("granted %d after one load ended", got)
		}
		n.fail = func() fault { return lost }
		c.Done("e")
		synctest.Wait()
		n.fail = func() fault { return none }
		time.Sleep(lookupInterval)
		if got := take(); got > 1 {
			t.Errorf("granted %d after one load ended whose report was answered late", got)
		}
	})
}

// Guards against a holder that cannot reach the key-value service and still grants after the lease has gone to another.
func TestHolderWithoutLeaseStopsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		s := newStore()
		p := newPolicy(rate, inFlight)
		first := n.add(s, p, "a")
		if err := first.step(t.Context()); err != nil {
			t.Fatal(err)
		}
		claimed := time.Now()
		s.fail = func(string) fault { return refused }
		for time.Since(claimed) < registry.LeaseTime-time.Second {
			_ = first.step(t.Context())
			time.Sleep(100 * time.Millisecond)
		}
		if _, err := first.Permit(t.Context(), nil); err == nil {
			t.Error("a holder grants although its lease may end before the load begins")
		}
		s.fail = func(string) fault { return none }
		time.Sleep(time.Second)
		second := n.add(s, p, "b")
		if err := second.step(t.Context()); err != nil || second.lease == 0 {
			t.Fatal("the expired lease is not taken over", err)
		}
		if _, err := first.Permit(t.Context(), nil); err == nil {
			t.Error("two holders grant")
		}
	})
}

// Guards against a load of the former holder whose end frees a permit of the present one.
func TestLoadOfTheFormerHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, n := newStore(), newNetwork()
		p := newPolicy(rate, inFlight)
		c := NewClient(s, n.granter, noShare{}, quartz.NewReal())
		take := func() (granted int) {
			time.Sleep(2 * time.Second)
			g, _ := c.Take(t.Context(), "e", 1, time.Second)
			return g.Granted
		}
		for _, address := range []string{"a", "b"} {
			h := n.add(s, p, address)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				_ = h.Run(ctx)
			}()
			time.Sleep(lookupInterval)
			for take() == 0 {
			}
			if address == "b" {
				break
			}
			cancel()
			<-ended
		}
		granted := 1
		for granted < inFlight {
			granted += take()
		}
		c.Done("e") // it may be the load of the former holder
		if got := take(); got != 0 {
			t.Errorf("%d loads of the present holder in flight", granted+got)
		}
		c.Done("e")
		if got := take(); got != 1 {
			t.Errorf("granted %d after a load of the present holder ended", got)
		}
	})
}

// Guards against a holder that believes to hold the lease, or a lease without a holder, when the answer of the claim is lost.
func TestLostAnswerOfTheClaim(t *testing.T) {
	for _, operation := range []string{"grant", "swap", "revoke"} {
		t.Run(operation, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, n := newStore(), newNetwork()
				p := newPolicy(rate, inFlight)
				first, second := n.add(s, p, "a"), n.add(s, p, "b")
				s.fail = func(op string) fault {
					if op == operation || (operation == "revoke" && op == "swap") {
						return lost
					}
					return none
				}
				if err := first.step(t.Context()); err == nil || first.lease != 0 {
					t.Fatalf("claim without its answer: %v, lease %d", err, first.lease)
				}
				s.fail = func(string) fault { return none }
				// The record of the lost claim may stay until its lease ends.
				time.Sleep(registry.LeaseTime)
				if err := second.step(t.Context()); err != nil || second.lease == 0 {
					t.Fatalf("next claim: %v", err)
				}
				if err := first.step(t.Context()); err != nil || first.lease != 0 {
					t.Errorf("second holder: %v", err)
				}
				if _, err := n.granter("a").Permit(t.Context(), nil); err == nil {
					t.Error("a process without the lease grants")
				}
			})
		})
	}
}

// Guards against a control loop that stands still while the key-value service is slow.
func TestDoneDoesNotWaitForTheService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, n := newStore(), newNetwork()
		s.delay = time.Minute
		c := NewClient(s, n.granter, &countingShare{}, quartz.NewReal())
		go func() { _, _ = c.Take(t.Context(), "e", 1, time.Second) }()
		synctest.Wait()
		begin := time.Now()
		c.Done("e")
		if d := time.Since(begin); d != 0 {
			t.Errorf("Done took %v of the clock of the test", d)
		}
		time.Sleep(2 * time.Minute)
	})
}

// Guards against a holder that does not know how much work waits and gives the next permit to whoever asks first.
func TestMostStalledWorkGoesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, n := newStore(), newNetwork()
		h := n.add(s, newPolicy(1, inFlight), "a")
		go func() { _ = h.Run(t.Context()) }()
		time.Sleep(permit.Expiry + time.Second)
		stalled := map[ident.Endpoint]time.Duration{"few": 100 * time.Millisecond, "many": 3 * time.Second}
		clients := make(map[ident.Endpoint]*Client)
		for e := range stalled {
			clients[e] = NewClient(s, n.granter, noShare{}, quartz.NewReal())
		}
		ask := func(e ident.Endpoint) permit.Grant {
			g, err := clients[e].Take(t.Context(), e, 1, stalled[e])
			if err != nil {
				t.Fatal(err)
			}
			return g
		}
		// The budget starts empty, so both are refused at first; the one with little work asks first each time.
		for {
			few, many := ask("few"), ask("many")
			if few.Granted > 0 {
				t.Fatal("the permit went to the ask with less stalled work")
			}
			if few.Wait <= 0 {
				t.Error("no expected wait in the answer to a refused ask")
			}
			if many.Granted > 0 {
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
}
