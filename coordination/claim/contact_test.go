package claim

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"shallotring.dev/state/ident"
)

// TestContactAge guards against an agent that reports an outage while the key-value service is available, or contact while it
// is not. It also guards against frequent queries that each cause a renewal.
func TestContactAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		var renewals, keepFault atomic.Int64
		s.chooseFault = func(op string) fault {
			if op == "keep" {
				renewals.Add(1)
				return fault(keepFault.Load())
			}
			return noFault
		}
		c := newClaim(s, "p1", true)
		if _, _, err := c.ContactAge(t.Context()); !errors.Is(err, ErrLost) {
			t.Errorf("contact without a claim: %v", err)
		}
		acquire(t, c)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			_ = c.Keep(ctx, func(Status, ident.Incarnation) {})
			close(done)
		}()
		renewals.Store(0)
		for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			if age, ok, err := c.ContactAge(t.Context()); !ok || err != nil || age > maxContactAge {
				t.Fatalf("age %v, ok %t, error %v while the service is available", age, ok, err)
			}
		}
		// One renewal per maxContactAge is enough.
		if n := renewals.Load(); n > 20 {
			t.Errorf("%d renewals in 20 s", n)
		}
		for _, f := range []fault{callRefused, responseLost, effectDelayed} {
			keepFault.Store(int64(f))
			time.Sleep(maxContactAge + time.Second)
			started := time.Now()
			if age, ok, _ := c.ContactAge(t.Context()); ok {
				t.Errorf("fault %d: a contact %v ago is confirmed", f, age)
			}
			if d := time.Since(started); d > contactTimeout {
				t.Errorf("fault %d: the response took %v", f, d)
			}
		}
		keepFault.Store(int64(callRefused))
		renewals.Store(0)
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			_, _, _ = c.ContactAge(t.Context())
		}
		// Failed renewals are retryInterval apart, which allows 20, with a margin of 2.
		if n := renewals.Load(); n > 22 {
			t.Errorf("%d renewals in 10 s of an outage", n)
		}
		cancel()
		<-done
		time.Sleep(LeaseTime)
	})
}
