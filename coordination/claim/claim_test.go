package claim

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"shallotring.dev/coordination/registry"
	"shallotring.dev/state/ident"
)

func newClaim(s *fakeStore, p ident.Process, fencing bool) *Claim {
	return New(s, registry.ClaimRecord{Process: p, Endpoint: "e1"}, WithFencingChecks(fencing))
}

func acquire(t *testing.T, c *Claim) ident.Incarnation {
	t.Helper()
	i, err := c.Acquire(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return i
}

// TestAcquireAfterLostResponses guards against an agent that waits for its own lease to expire, writes its claim twice, or
// reports the revision of another write as its incarnation, after the response to a call was lost.
func TestAcquireAfterLostResponses(t *testing.T) {
	tests := []struct {
		operation string
		fault     fault
	}{{"swap", responseLost}, {"swap", effectDelayed}, {"grant", responseLost}, {"get", responseLost}, {"keep", responseLost}}
	for _, tt := range tests {
		t.Run(tt.operation, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newStore()
				done := false
				s.chooseFault = func(op string) fault {
					if done || op != tt.operation {
						return noFault
					}
					done = true
					return tt.fault
				}
				started := time.Now()
				i := acquire(t, newClaim(s, "p1", true))
				if r := s.data[registry.ClaimKey("e1")]; ident.Incarnation(r.ModRevision) != i || s.revision != ident.Revision(i) {
					t.Errorf("incarnation %d, key at %d, service at %d", i, r.ModRevision, s.revision)
				}
				if d := time.Since(started); d >= LeaseTime {
					t.Errorf("took %v: the agent waited for its own lease to expire", d)
				}
				time.Sleep(LeaseTime)
			})
		})
	}
}

// TestPausedHolder guards against two agents that both send orders to one endpoint: the first is paused until its lease has
// expired, and the second acquires the claim meanwhile.
func TestPausedHolder(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			s := newStore()
			a, b := newClaim(s, "pa", fencing), newClaim(s, "pb", fencing)
			first := acquire(t, a)
			started := time.Now()
			second := acquire(t, b)
			gap := LeaseTime
			if !fencing {
				gap += TakeoverDelay
			}
			if waited := time.Since(started); waited < gap || second <= first {
				t.Errorf("fencing=%v: acquired after %v with incarnation %d after %d", fencing, waited, second, first)
			}
			if err := a.Check(); fencing != (err == nil) {
				t.Errorf("fencing=%v: check of the paused agent: %v", fencing, err)
			}
			if err := a.Renew(t.Context()); err == nil || !errors.Is(a.Check(), ErrLost) {
				t.Errorf("fencing=%v: renewed: %v, check: %v", fencing, err, a.Check())
			}
		})
	}
}

// TestKeepDuringOutage guards against an agent that still sends orders shortly before its lease may expire in an outage of
// the key-value service, and against one that stops although the endpoint checks fencing numbers. It also guards against a
// claim that is held again after its release.
func TestKeepDuringOutage(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			s := newStore()
			var down atomic.Bool
			s.chooseFault = func(string) fault {
				if down.Load() {
					return callRefused
				}
				return noFault
			}
			c := newClaim(s, "p1", fencing)
			first := acquire(t, c)
			ctx, cancel := context.WithCancel(t.Context())
			var reports []Status
			last := first
			go func() {
				_ = c.Keep(ctx, func(x Status, i ident.Incarnation) { reports, last = append(reports, x), i })
			}()
			time.Sleep(time.Minute)
			synctest.Wait()
			if c.Check() != nil || len(reports) != 0 {
				t.Errorf("fencing=%v: check %v, reports %v while the service is available", fencing, c.Check(), reports)
			}
			down.Store(true)
			time.Sleep(MaxRenewalAge)
			if err := c.Check(); fencing != (err == nil) {
				t.Errorf("fencing=%v: check in the outage: %v", fencing, err)
			}
			time.Sleep(LeaseTime)
			down.Store(false)
			time.Sleep(LeaseTime)
			synctest.Wait()
			if want := []Status{Uncertain, Lost, Held}; len(reports) != 3 || [3]Status(reports) != [3]Status(want) || last <= first {
				t.Errorf("fencing=%v: reports %v, want %v; incarnation %d after %d", fencing, reports, want, last, first)
			}
			c.Release(t.Context())
			time.Sleep(LeaseTime)
			cancel()
			synctest.Wait()
			if len(s.data) != 0 || !errors.Is(c.Check(), ErrLost) {
				t.Errorf("after the release, with Keep still running: %v, check %v", s.data, c.Check())
			}
		})
	}
}

// TestSlowKeepAlive guards against a renewal whose age counts from the response to a slow keep-alive instead of from its start.
func TestSlowKeepAlive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		c := newClaim(s, "p1", false)
		acquire(t, c)
		s.delay = 900 * time.Millisecond
		started := time.Now()
		if err := c.Renew(t.Context()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(MaxRenewalAge - time.Since(started))
		if err := c.Check(); !errors.Is(err, ErrNotRenewed) {
			t.Errorf("check %v after the start of the keep-alive: %v", time.Since(started), err)
		}
	})
}

// TestCompetingAgents guards against two agents that may send orders to an endpoint that ignores fencing numbers at the same
// time. Three agents compete for the claim, are paused, and have calls refused, delayed or their responses lost at random.
func TestCompetingAgents(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 2))
			s := newStore()
			s.chooseFault = func(string) fault {
				s.mu.Lock()
				defer s.mu.Unlock()
				if random.IntN(100) < 75 {
					return noFault
				}
				return fault(random.IntN(4))
			}
			ctx, cancel := context.WithCancel(t.Context())
			agents := []*Claim{newClaim(s, "p0", false), newClaim(s, "p1", false), newClaim(s, "p2", false)}
			for _, c := range agents {
				go func() {
					for ctx.Err() == nil {
						if _, err := c.Acquire(ctx); err != nil {
							return
						}
						keepCtx, end := context.WithTimeout(ctx, 30*time.Second)
						_ = c.Keep(keepCtx, func(Status, ident.Incarnation) {})
						end()
						// A paused agent does not renew its claim, but Check is still called for it.
						time.Sleep(15 * time.Second)
					}
				}()
			}
			held := 0
			for range 6000 {
				time.Sleep(50 * time.Millisecond)
				synctest.Wait()
				var holders []int
				for i, c := range agents {
					if c.Check() == nil {
						holders = append(holders, i)
						held++
					}
				}
				if len(holders) > 1 {
					t.Fatalf("seed %d: agents %v may send orders at once", seed, holders)
				}
			}
			if held == 0 {
				t.Errorf("seed %d: no agent ever held the claim", seed)
			}
			cancel()
			time.Sleep(time.Minute) // the goroutines of the agents end meanwhile
		})
	}
}
