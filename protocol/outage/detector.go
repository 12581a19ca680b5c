package outage

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// quickResponse is the longest duration of a call that shows the end of an outage. The responses of a slow server show nothing: each
// would follow a call that ran into its timeout.
const quickResponse = 500 * time.Millisecond

// ErrRecovered is the cause of the end of a call that waited while the server was away.
var ErrRecovered = eris.New("the server responds again after an outage, and the call may have been lost in it")

// Detector ends waiting calls when the server responds again; its methods may be called from any goroutine.
type Detector struct {
	mu sync.Mutex
	// missed is set after a call without a response, until a quick response.
	missed bool
	// period ends with the recovery from an outage.
	period context.Context
	end    context.CancelFunc
}

// New returns a detector that knows of no outage.
func New() *Detector {
	d := &Detector{}
	d.period, d.end = context.WithCancel(context.Background())
	return d
}

// Wait returns a context for a call that waits. It ends with the cause ErrRecovered when the server recovers from an outage; stop
// releases it.
func (d *Detector) Wait(parent context.Context) (ctx context.Context, stop func()) {
	ctx, cancel := context.WithCancelCause(parent)
	d.mu.Lock()
	detach := context.AfterFunc(d.period, func() { cancel(ErrRecovered) })
	d.mu.Unlock()
	return ctx, func() {
		detach()
		cancel(nil)
	}
}

// Recovered returns a channel that is closed with the recovery from the next outage, or from the present one.
func (d *Detector) Recovered() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.period.Done()
}

// Missed records a call that got no response. Calls that the process itself has ended do not count.
func (d *Detector) Missed() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.missed = true
}

// Interrupted reports whether a call got no response since the last quick one.
func (d *Detector) Interrupted() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.missed
}

// Responded records the response to a call and the duration of the call.
func (d *Detector) Responded(duration time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.missed || duration > quickResponse {
		return
	}
	d.missed = false
	d.end()
	d.period, d.end = context.WithCancel(context.Background())
}
