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

// Guards against an agent that reports an outage while the service answers, a contact while it does not, or that turns
// questions for its contact into more than one renewal per second.
func TestContact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		var renewals, mode atomic.Int64
		s.fail = func(op string) fault {
			if op == "keep" {
				renewals.Add(1)
				return fault(mode.Load())
			}
			return none
		}
		c := newClaim(s, "p1", true)
		if _, _, err := c.Contact(t.Context()); !errors.Is(err, ErrLost) {
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
			if age, ok, err := c.Contact(t.Context()); !ok || err != nil || age > contactFresh {
				t.Fatalf("age %v, ok %t, error %v while the service answers", age, ok, err)
			}
		}
		if n := renewals.Load(); n > 20 {
			t.Errorf("%d renewals in 20 s", n)
		}
		for _, f := range []fault{refused, lost, late} {
			mode.Store(int64(f))
			time.Sleep(contactFresh + time.Second)
			began := time.Now()
			if age, ok, _ := c.Contact(t.Context()); ok {
				t.Errorf("fault %d: contact %v old is confirmed", f, age)
			}
			if d := time.Since(began); d > contactWait {
				t.Errorf("fault %d: the answer took %v", f, d)
			}
		}
		mode.Store(int64(refused))
		renewals.Store(0)
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			_, _, _ = c.Contact(t.Context())
		}
		if n := renewals.Load(); n > 22 {
			t.Errorf("%d renewals in 10 s of an outage", n)
		}
		cancel()
		<-done
		time.Sleep(LeaseTime)
	})
}
