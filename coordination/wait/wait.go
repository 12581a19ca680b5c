package wait

import (
	"context"
	"time"

	"github.com/coder/quartz"
)

// For returns after a duration, or when the context ends.
func For(ctx context.Context, clock quartz.Clock, d time.Duration) {
	if d <= 0 {
		return
	}
	t := clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
