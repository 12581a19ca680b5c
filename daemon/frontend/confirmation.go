package frontend

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"shallotring.dev/state/outcome"
	"shallotring.dev/state/tenant"
)

// confirmation is how long the configuration in force may decide about keys.
type confirmation struct {
	tenant.Confidence
	// bootTime returns the time since the start of the host. Unlike the clock of the program, it goes on while the host is suspended.
	bootTime func() time.Duration
	// at is the latest boot time at which the configuration in force was certainly the newest one, 0 if there is none.
	at atomic.Int64
}

// WithConfidence sets how long a configuration may decide about keys after its last confirmation.
func WithConfidence(c tenant.Confidence) Option {
	return func(f *Frontend) { f.confirmation.Confidence = c }
}

// WithBootTime replaces the clock that measures the age of the configuration.
func WithBootTime(now func() time.Duration) Option {
	return func(f *Frontend) { f.confirmation.bootTime = now }
}

func bootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// The clock exists on all Linux systems since 2.6.39.
		panic(err)
	}
	return time.Duration(t.Nano())
}

// BeginConfirmation is called before the configuration is read. The function that it returns states that the configuration in force was the newest one
// up to a duration before this call, and reports whether that is recent.
func (f *Frontend) BeginConfirmation() (confirm func(earlier time.Duration) (recent bool)) {
	began := f.confirmation.bootTime()
	return func(earlier time.Duration) (recent bool) {
		c := &f.confirmation
		for at := int64(began - earlier); ; {
			old := c.at.Load()
			if at <= old || c.at.CompareAndSwap(old, at) {
				break
			}
		}
		return c.Revoke <= 0 || c.age() < c.Revoke/2
	}
}

// age returns how long ago the configuration in force was certainly the newest one.
func (c *confirmation) age() time.Duration { return c.bootTime() - time.Duration(c.at.Load()) }

// unconfirmedRefusal returns a refusal if the key of a request was admitted under a configuration that may not decide any more.
func (f *Frontend) unconfirmedRefusal(x *request) *outcome.Refusal {
	if x.tenant == nil || f.confirmation.Admits(f.confirmation.age()) {
		return nil
	}
	return f.refuseKey(x, tenant.Unconfirmed)
}

// keysUnconfirmed reports whether requests with keys are refused since the configuration in force has not been confirmed for too long.
func (f *Frontend) keysUnconfirmed() bool {
	t := f.routes.Load()
	return t != nil && t.Tenants != nil && !f.confirmation.Admits(f.confirmation.age())
}
