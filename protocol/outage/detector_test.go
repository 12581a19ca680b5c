package outage

import (
	"context"
	"testing"
	"time"

	"github.com/rotisserie/eris"
)

// TestWaitEndsWithTheRecovery guards against a wait that goes on after an outage, and against one that ends without an outage or because
// of the responses of a slow server.
func TestWaitEndsWithTheRecovery(t *testing.T) {
	missed := func(d *Detector) { d.Missed() }
	quick := func(d *Detector) { d.Responded(quickResponse) }
	slow := func(d *Detector) { d.Responded(quickResponse + time.Millisecond) }
	for _, x := range []struct {
		name   string
		before []func(*Detector)
		during []func(*Detector)
		ends   bool
	}{
		{"responses only", nil, []func(*Detector){quick, quick}, false},
		{"no response yet", nil, []func(*Detector){missed, missed}, false},
		{"outage during the wait", nil, []func(*Detector){missed, quick}, true},
		{"wait begins in the outage", []func(*Detector){missed}, []func(*Detector){quick}, true},
		{"wait begins after the recovery", []func(*Detector){missed, quick}, []func(*Detector){quick}, false},
		{"slow server", nil, []func(*Detector){missed, slow, missed, slow}, false},
		{"slow server gets quick", nil, []func(*Detector){missed, slow, quick}, true},
		{"second outage", []func(*Detector){missed, quick}, []func(*Detector){missed, quick}, true},
	} {
		t.Run(x.name, func(t *testing.T) {
			d := New()
			for _, f := range x.before {
				f(d)
			}
			ctx, stop := d.Wait(t.Context())
			defer stop()
			for _, f := range x.during {
				f(d)
			}
			if !x.ends {
				// The context would end in a goroutine of its own, so the period is what can be compared.
				if d.period.Err() != nil || ctx.Err() != nil {
					t.Error("the wait has ended")
				}
				return
			}
			select {
			case <-ctx.Done():
			case <-time.After(10 * time.Second):
				t.Fatal("the wait goes on")
			}
			if err := context.Cause(ctx); !eris.Is(err, ErrRecovered) {
				t.Errorf("cause %v", err)
			}
		})
	}
}
