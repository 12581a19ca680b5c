package sidecar

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/rotisserie/eris"

	"shallotring.dev/state/holdings"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/routing"
)

// fakeEngine is an engine that has nothing loaded; it records its orders.
type fakeEngine struct {
	mu     sync.Mutex
	fence  ident.Incarnation
	orders []holdings.Order
	err    error
	calls  int
}

func (e *fakeEngine) Report(context.Context) (r holdings.Report, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls++
	return holdings.Report{StartMilli: 1}, e.err
}

func (e *fakeEngine) Order(_ context.Context, o holdings.Order) (result holdings.Result, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, o)
	if o.FencingNumber < e.fence {
		return holdings.Fenced, nil
	}
	return holdings.Accepted, nil
}

func (e *fakeEngine) Identity(context.Context) (id ident.Endpoint, err error) { return "i-1", nil }

func (e *fakeEngine) sent() []holdings.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]holdings.Order(nil), e.orders...)
}

// run starts a sidecar of the engine until the test ends; each claim returns the next fencing number.
func run(t *testing.T, e *fakeEngine) {
	t.Helper()
	next := ident.Incarnation(0)
	claim := func(context.Context) (fencingNumber ident.Incarnation, err error) {
		next++
		return next, nil
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(e, claim)
	s.Configure(routing.Engine{Adapters: 2, Models: []routing.Model{{Name: "m"}}})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx, l) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

// TestRefusedFencingNumberIsReplaced guards against an agent that sends all its orders with a fencing number that the engine has refused.
func TestRefusedFencingNumberIsReplaced(t *testing.T) {
	e := &fakeEngine{fence: 2}
	run(t, e)
	deadline := time.Now().Add(10 * time.Second)
	for {
		orders := e.sent()
		if n := len(orders); n > 0 && orders[n-1].FencingNumber == 2 {
			refused := 0
			for _, o := range orders {
				if o.FencingNumber < 2 {
					refused++
				}
			}
			if refused != 1 {
				t.Errorf("%d orders were sent with the refused number, want 1", refused)
			}
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("no order with a new fencing number: %v", orders)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// TestNoCallsWhileEngineAsksForTime guards against polls and orders during the time for which the engine wants no calls.
func TestNoCallsWhileEngineAsksForTime(t *testing.T) {
	const pause = 600 * time.Millisecond
	e := &fakeEngine{err: eris.Wrap(&holdings.BusyError{RetryAfter: pause}, "read engine report")}
	run(t, e)
	count := func() int {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.calls
	}
	for deadline := time.Now().Add(10 * time.Second); count() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the engine is not polled")
		}
	}
	e.mu.Lock()
	e.err = nil
	e.mu.Unlock()
	start := time.Now()
	for count() == 1 {
		if time.Since(start) > 10*time.Second {
			t.Fatal("the engine is not polled after the pause")
		}
		time.Sleep(time.Millisecond)
	}
	if passed := time.Since(start); passed < pause-50*time.Millisecond {
		t.Errorf("the engine was polled %v after it asked for %v", passed, pause)
	}
}
