package fleet

import (
	"time"

	"shallotring.dev/soak/store"
	"shallotring.dev/state/gate"
	"shallotring.dev/state/ident"
)

// Times of section 9.4 of the design.
const (
	stopAfter    = 6 * time.Second
	successorGap = 2 * time.Second
)

// claim follows coordination/claim, whose calls block, on the simulated clock.
type claim struct {
	agent       *agent
	status      gate.ClaimStatus
	held        bool
	released    bool
	lease       int64
	pending     map[int64]bool
	incarnation ident.Incarnation
	renewed     time.Time
	reported    gate.ClaimStatus
	// resumed is the incarnation that the gate works under.
	resumed ident.Incarnation
}

func (c *claim) key() string { return claimPrefix + string(c.agent.site.name) }

// fenced reports whether orders stay safe past the lease.
func (c *claim) fenced() bool {
	return c.agent.site.backend.ChecksFencing || c.agent.site.backend.Service
}

func (c *claim) now() time.Time { return c.agent.clock().Now() }

func (c *claim) current() gate.ClaimStatus {
	if c.agent.fleet.options.Without == ClaimCheck {
		return gate.ClaimHeld
	}
	if c.status == gate.ClaimHeld && c.now().Sub(c.renewed) >= stopAfter {
		return gate.ClaimUncertain
	}
	return c.status
}

// allows is the check immediately before each send.
func (c *claim) allows() bool {
	switch c.current() {
	case gate.ClaimHeld:
		return !c.released
	case gate.ClaimUncertain:
		return c.fenced() && !c.released
	}
	return false
}

// acquire takes the claim and then calls done.
func (c *claim) acquire(done func()) {
	again := func() { c.agent.later(retryEvery, func() { c.acquire(done) }) }
	if c.released {
		return
	}
	if c.pending == nil {
		c.pending = make(map[int64]bool)
	}
	c.find(func(found, free bool, lease int64, at ident.Revision) {
		switch {
		case found:
			c.confirm(lease, at, done, again)
		case free:
			c.write(done, again)
		default:
			again()
		}
	})
}

func (c *claim) find(done func(found, free bool, lease int64, at ident.Revision)) {
	var r store.Record
	var ok bool
	c.agent.call(storeCall, func() { r, ok = c.agent.fleet.store.Get(c.key()) }, func(s store.Status) {
		if s != store.Answered {
			done(false, false, 0, 0)
			return
		}
		done(ok && c.pending[r.Lease], !ok, r.Lease, r.Revision)
	})
}

func (c *claim) write(done, again func()) {
	st := c.agent.fleet.store
	var lease int64
	c.agent.call(storeCall, func() { lease = st.Grant(leaseTime) }, func(s store.Status) {
		if s != store.Answered {
			again()
			return
		}
		c.pending[lease] = true
		var at ident.Revision
		var ok bool
		value := []byte(string(c.agent.id) + " " + c.agent.address)
		c.agent.call(storeCall, func() { at, ok = st.Swap(c.key(), 0, value, lease) }, func(s store.Status) {
			if s == store.Answered && ok {
				c.confirm(lease, at, done, again)
				return
			}
			again()
		})
	})
}

// confirm waits for a former holder's last orders and renews the lease.
func (c *claim) confirm(lease int64, at ident.Revision, done, again func()) {
	gap := time.Duration(0)
	if !c.fenced() {
		gap = successorGap
	}
	c.agent.later(gap, func() {
		started, ok := c.now(), false
		c.agent.call(storeCall, func() { ok = c.agent.fleet.store.KeepAlive(lease, leaseTime) }, func(s store.Status) {
			if s != store.Answered || !ok || c.released {
				again()
				return
			}
			clear(c.pending)
			c.status, c.held, c.lease, c.incarnation, c.renewed = gate.ClaimHeld, true, lease, ident.Incarnation(at), started
			c.agent.fleet.note(string(c.agent.site.name), "%s claimed with incarnation %d", c.agent.id, at)
			done()
		})
	})
}

// keep renews the claim and reports each change of its status.
func (c *claim) keep(next time.Time) {
	c.agent.later(retryEvery, func() {
		if c.released {
			return
		}
		if c.now().Before(next) {
			c.report(next)
			return
		}
		started, ok, lease := c.now(), false, c.lease
		c.agent.call(storeCall, func() { ok = c.agent.fleet.store.KeepAlive(lease, leaseTime) }, func(s store.Status) {
			if s == store.Answered && ok && c.status == gate.ClaimHeld {
				c.renewed, next = started, started.Add(keepAlive)
			}
			if s == store.Answered && !ok {
				c.status = gate.ClaimLost
			}
			c.report(next)
		})
	})
}

func (c *claim) report(next time.Time) {
	s := c.current()
	if s != gate.ClaimLost && c.resumed != c.incarnation {
		c.keep(next)
		return
	}
	if s != c.reported {
		c.reported = s
		c.agent.step(gate.Claim{Status: s, Incarnation: c.incarnation})
	}
	if s != gate.ClaimLost {
		c.keep(next)
		return
	}
	c.held = false
	c.agent.fleet.note(string(c.agent.site.name), "%s lost its claim", c.agent.id)
	c.acquire(func() {
		c.reported = gate.ClaimLost
		c.keep(c.now().Add(keepAlive))
		c.resume(c.incarnation)
	})
}

// resume lets the gate work under a claim that was taken again once the configuration is as new as the claim.
func (c *claim) resume(i ident.Incarnation) {
	c.agent.readAll(func(ok bool) {
		if c.released || c.incarnation != i || c.status != gate.ClaimHeld {
			return
		}
		if !ok {
			c.agent.later(retryEvery, func() { c.resume(i) })
			return
		}
		c.agent.configure()
		c.resumed = i
		c.reported = c.current()
		c.agent.step(gate.Claim{Status: c.reported, Incarnation: i})
	})
}

// invalidate gives the claim up after the endpoint has refused its number.
func (c *claim) invalidate() {
	c.status = gate.ClaimLost
	c.agent.step(gate.Claim{Status: gate.ClaimLost, Incarnation: c.incarnation})
}

// release ends the claim for good.
func (c *claim) release() {
	lease, held := c.lease, c.held
	c.released, c.held = true, false
	if held {
		c.agent.fleet.store.Call(storeCall, func() { c.agent.fleet.store.Revoke(lease) }, func(store.Status) {})
	}
}
