package fleet

import (
	"time"

	"shallotring.dev/soak/store"
	"shallotring.dev/state/gate"
	"shallotring.dev/state/ident"
)

const (
	// uncertainAfter is the age of the last renewal from which a holder regards its claim as uncertain. Unless the endpoint
	// checks fencing numbers, the holder then sends no more orders.
	uncertainAfter = 6 * time.Second
	// successorDelay is the wait of a new holder for late orders of the previous one, if the endpoint does not
	// check fencing numbers.
	successorDelay = 2 * time.Second
)

// claim is an agent's claim of its endpoint. It does on the simulated clock what coordination/claim does with blocking calls.
type claim struct {
	agent    *agent
	status   gate.ClaimStatus
	held     bool
	released bool
	lease    int64
	// pendingLeases are the leases of writes of the claim that may have taken effect although no response arrived.
	pendingLeases  map[int64]bool
	incarnation    ident.Incarnation
	renewedAt      time.Time
	reportedStatus gate.ClaimStatus
	// gateIncarnation is the incarnation under which the gate works.
	gateIncarnation ident.Incarnation
}

func (c *claim) key() string { return claimPrefix + string(c.agent.endpoint.name) }

// fencingChecked reports whether late orders do no harm after the lease has expired: the endpoint refuses their stale fencing number,
// or it is a plain service.
func (c *claim) fencingChecked() bool {
	return c.agent.endpoint.backend.ChecksFencing || c.agent.endpoint.backend.PlainService
}

func (c *claim) now() time.Time { return c.agent.clock().Now() }

func (c *claim) currentStatus() gate.ClaimStatus {
	if c.agent.fleet.options.Without == ClaimCheck {
		return gate.ClaimHeld
	}
	if c.status == gate.ClaimHeld && c.now().Sub(c.renewedAt) >= uncertainAfter {
		return gate.ClaimUncertain
	}
	return c.status
}

// allowsSend is the check of the claim immediately before each order.
func (c *claim) allowsSend() bool {
	switch c.currentStatus() {
	case gate.ClaimHeld:
		return !c.released
	case gate.ClaimUncertain:
		return c.fencingChecked() && !c.released
	}
	return false
}

// acquire acquires the claim and then calls done.
func (c *claim) acquire(done func()) {
	retry := func() { c.agent.runAfter(retryInterval, func() { c.acquire(done) }) }
	if c.released {
		return
	}
	if c.pendingLeases == nil {
		c.pendingLeases = make(map[int64]bool)
	}
	c.read(func(written, free bool, lease int64, at ident.Revision) {
		switch {
		case written:
			c.confirm(lease, at, done, retry)
		case free:
			c.write(done, retry)
		default:
			retry()
		}
	})
}

// read reads the stored claim. It reports written if an earlier write by this agent took effect, free if there is no claim.
func (c *claim) read(done func(written, free bool, lease int64, at ident.Revision)) {
	var r store.Record
	var ok bool
	c.agent.callStore(storeTimeout, func() { r, ok = c.agent.fleet.store.Get(c.key()) }, func(s store.Status) {
		if s != store.Answered {
			done(false, false, 0, 0)
			return
		}
		done(ok && c.pendingLeases[r.Lease], !ok, r.Lease, r.Revision)
	})
}

func (c *claim) write(done, retry func()) {
	st := c.agent.fleet.store
	var lease int64
	c.agent.callStore(storeTimeout, func() { lease = st.Grant(leaseDuration) }, func(s store.Status) {
		if s != store.Answered {
			retry()
			return
		}
		c.pendingLeases[lease] = true
		var at ident.Revision
		var ok bool
		value := []byte(string(c.agent.id) + " " + c.agent.address)
		c.agent.callStore(storeTimeout, func() { at, ok = st.Swap(c.key(), 0, value, lease) }, func(s store.Status) {
			if s == store.Answered && ok {
				c.confirm(lease, at, done, retry)
				return
			}
			retry()
		})
	})
}

// confirm waits until the last orders of a previous holder have arrived, renews the lease and then calls done.
func (c *claim) confirm(lease int64, at ident.Revision, done, retry func()) {
	gap := time.Duration(0)
	if !c.fencingChecked() {
		gap = successorDelay
	}
	c.agent.runAfter(gap, func() {
		started, ok := c.now(), false
		c.agent.callStore(storeTimeout, func() { ok = c.agent.fleet.store.KeepAlive(lease, leaseDuration) }, func(s store.Status) {
			if s != store.Answered || !ok || c.released {
				retry()
				return
			}
			clear(c.pendingLeases)
			c.status, c.held, c.lease, c.incarnation, c.renewedAt = gate.ClaimHeld, true, lease, ident.Incarnation(at), started
			c.agent.fleet.logEvent(string(c.agent.endpoint.name), "%s claimed with incarnation %d", c.agent.id, at)
			done()
		})
	})
}

// scheduleRenewal renews the claim when next has passed and reports each change of its status to the gate.
func (c *claim) scheduleRenewal(next time.Time) {
	c.agent.runAfter(retryInterval, func() {
		if c.released {
			return
		}
		if c.now().Before(next) {
			c.reportStatus(next)
			return
		}
		started, ok, lease := c.now(), false, c.lease
		c.agent.callStore(storeTimeout, func() { ok = c.agent.fleet.store.KeepAlive(lease, leaseDuration) }, func(s store.Status) {
			if s == store.Answered && ok && c.status == gate.ClaimHeld {
				c.renewedAt, next = started, started.Add(keepAliveInterval)
			}
			if s == store.Answered && !ok {
				c.status = gate.ClaimLost
			}
			c.reportStatus(next)
		})
	})
}

func (c *claim) reportStatus(next time.Time) {
	s := c.currentStatus()
	if s != gate.ClaimLost && c.gateIncarnation != c.incarnation {
		c.scheduleRenewal(next)
		return
	}
	if s != c.reportedStatus {
		c.reportedStatus = s
		c.agent.step(gate.Claim{Status: s, Incarnation: c.incarnation})
	}
	if s != gate.ClaimLost {
		c.scheduleRenewal(next)
		return
	}
	c.held = false
	c.agent.fleet.logEvent(string(c.agent.endpoint.name), "%s lost its claim", c.agent.id)
	c.acquire(func() {
		c.reportedStatus = gate.ClaimLost
		c.scheduleRenewal(c.now().Add(keepAliveInterval))
		c.resume(c.incarnation)
	})
}

// resume reports a claim that was acquired again to the gate, after the agent has read a configuration that is not older
// than the claim.
func (c *claim) resume(i ident.Incarnation) {
	c.agent.readConfiguration(func(ok bool) {
		if c.released || c.incarnation != i || c.status != gate.ClaimHeld {
			return
		}
		if !ok {
			c.agent.runAfter(retryInterval, func() { c.resume(i) })
			return
		}
		c.agent.configure()
		c.gateIncarnation = i
		c.reportedStatus = c.currentStatus()
		c.agent.step(gate.Claim{Status: c.reportedStatus, Incarnation: i})
	})
}

// invalidate marks the claim of incarnation i as lost after the endpoint has refused its fencing number.
func (c *claim) invalidate(i ident.Incarnation) {
	if c.incarnation != i {
		return
	}
	c.status = gate.ClaimLost
	c.agent.step(gate.Claim{Status: gate.ClaimLost, Incarnation: i})
}

// release revokes the claim's lease for a stop; the claim is not acquired again.
func (c *claim) release() {
	lease, held := c.lease, c.held
	c.released, c.held = true, false
	if held {
		c.agent.fleet.store.Call(storeTimeout, func() { c.agent.fleet.store.Revoke(lease) }, func(store.Status) {})
	}
}
