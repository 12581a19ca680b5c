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
	return New(s, registry.ClaimRecord{Process: p, Endpoint: "e1"}, ChecksFencing(fencing))
}

func acquire(t *testing.T, c *Claim) ident.Incarnation {
	t.Helper()
	i, err := c.Acquire(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return i
}

// Guards against a claim that waits for itself, is taken twice, or carries the number of another write when an answer is lost.
func TestLostAnswers(t *testing.T) {
	tests := []struct {
		operation string
		fault     fault
	}{{"swap", lost}, {"swap", late}, {"grant", lost}, {"get", lost}, {"keep", lost}}
	for _, tt := range tests {
		t.Run(tt.operation, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newStore()
				done := false
				s.fail = func(op string) fault {
					if done || op != tt.operation {
						return none
					}
					done = true
					return tt.fault
				}
				began := time.Now()
				i := acquire(t, newClaim(s, "p1", true))
				if r := s.data[registry.ClaimKey("e1")]; ident.Incarnation(r.ModRevision) != i || s.at != ident.Revision(i) {
					t.Errorf("incarnation %d, key at %d, service at %d", i, r.ModRevision, s.at)
				}
				if d := time.Since(began); d >= LeaseTime {
					t.Errorf("took %v: the claim waited for its own lease", d)
				}
				time.Sleep(LeaseTime)
			})
		})
	}
}

// Guards against two agents that command one endpoint, after the first was paused past its lease.
func TestPausedHolder(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			s := newStore()
			a, b := newClaim(s, "pa", fencing), newClaim(s, "pb", fencing)
			first := acquire(t, a)
			began := time.Now()
			second := acquire(t, b)
			gap := LeaseTime
			if !fencing {
				gap += SuccessorGap
			}
			if waited := time.Since(began); waited < gap || second <= first {
				t.Errorf("fencing=%v: taken after %v with incarnation %d after %d", fencing, waited, second, first)
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

// Guards against commands in the last part of a lease, and against stopping needlessly where fencing numbers are checked.
func TestOutage(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			s := newStore()
			var down atomic.Bool
			s.fail = func(string) fault {
				if down.Load() {
					return refused
				}
				return none
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
				t.Errorf("fencing=%v: check %v, reports %v while the service answers", fencing, c.Check(), reports)
			}
			down.Store(true)
			time.Sleep(StopAfter)
			if err := c.Check(); fencing != (err == nil) {
				t.Errorf("fencing=%v: check in the outage: %v", fencing, err)
			}
			time.Sleep(LeaseTime)
			down.Store(false)
			time.Sleep(LeaseTime)
			synctest.Wait()
			if want := []Status{Unsure, Lost, Held}; len(reports) != 3 || [3]Status(reports) != [3]Status(want) || last <= first {
				t.Errorf("fencing=%v: reports %v, want %v; incarnation %d after %d", fencing, reports, want, last, first)
			}
			cancel()
			synctest.Wait()
			c.Release(t.Context())
			if len(s.data) != 0 || !errors.Is(c.Check(), ErrLost) {
				t.Errorf("released: %v, check %v", s.data, c.Check())
			}
		})
	}
}

// Guards against a term that is counted from the answer of a slow keep-alive in place of its start.
func TestSlowKeepAlive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		c := newClaim(s, "p1", false)
		acquire(t, c)
		s.delay = 900 * time.Millisecond
		began := time.Now()
		if err := c.Renew(t.Context()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(StopAfter - time.Since(began))
		if err := c.Check(); !errors.Is(err, ErrMargin) {
			t.Errorf("check %v after the start of the keep-alive: %v", time.Since(began), err)
		}
	})
}

// Guards against any mix of lost, late and refused calls and pauses that lets two agents command an endpoint that ignores fencing numbers.
func TestCompetingAgents(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 2))
			s := newStore()
			s.fail = func(string) fault {
				s.mu.Lock()
				defer s.mu.Unlock()
				if random.IntN(100) < 75 {
					return none
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
						life, end := context.WithTimeout(ctx, 30*time.Second)
						_ = c.Keep(life, func(Status, ident.Incarnation) {})
						end()
						// A paused agent does not renew; its checks go on.
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
					t.Fatalf("seed %d: agents %v may send commands at once", seed, holders)
				}
			}
			if held == 0 {
				t.Errorf("seed %d: nobody ever held the claim", seed)
			}
			cancel()
			time.Sleep(time.Minute) // the goroutines of the agents end
		})
	}
}
