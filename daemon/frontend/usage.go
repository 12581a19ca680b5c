package frontend

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/time/rate"

	"shallotring.dev/protocol/control"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/outcome"
	"shallotring.dev/state/quotapool"
	"shallotring.dev/state/quotastock"
	"shallotring.dev/state/tenant"
)

const (
	// usageTimeout is the longest wait of a request for an agent's response about its tenant's usage.
	usageTimeout = 50 * time.Millisecond
	// defaultTolerance is a tenth of a window of 8 s.
	defaultTolerance = 800 * time.Millisecond
	// usageIdleTime is the time after which a tenant without requests is forgotten.
	usageIdleTime = 10 * time.Second
	// silentOwnerShare is the part of its share of a limit that an entry uses while the agent that grants usage is connected and does not
	// respond: it may grant to others, and to this entry late.
	silentOwnerShare = 0.25
	// maxQuotaLines is the number of lines per second about a tenant's refused requests.
	maxQuotaLines = 10
	// retrySpread is the random part by which the time after which refused callers return is longer.
	retrySpread = 0.25
)

// usage is what an entry knows of the usage of tenants with a limit; the frontend's lock guards it.
type usage struct {
	tenants map[ident.Tenant]*tenantUsage
	// owners has the agent that grants usage to the tenants of each shard; nil without any.
	owners [quotapool.ShardCount]*agentLink
	// chosenAmong identifies the agents that the owners were chosen among.
	chosenAmong uint64
	// sequence numbers the questions for usage.
	sequence int64
	// tolerance is the time for which a tenant may use its rate beyond the quota in a window.
	tolerance time.Duration
}

// tenantUsage is the usage of one tenant at this entry.
type tenantUsage struct {
	*quotastock.Stock
	name    ident.Tenant
	limit   tenant.Limit
	version int64
	usedAt  time.Time
	// owner is the agent that was asked last, on the connection with the number.
	owner      *agentLink
	connection int
	// stockAskedAt is the time of the question for stock that has not been answered; zero if there is none.
	stockAskedAt time.Time

	// lines limits the lines about refused requests.
	lines *rate.Limiter

	charged, refunded, refused, unanswered *metrics.Counter
}

// usageCharge is what a request was charged.
type usageCharge struct {
	chargedTenant ident.Tenant
	chargedUnits  float64
	chargedAt     time.Time
	// quotaLines limits the lines about its refusal; nil unless it is beyond the quota.
	quotaLines *rate.Limiter
}

// usageQuestion is a question for usage that has not been answered.
type usageQuestion struct {
	tenant  ident.Tenant
	units   float64
	askedAt time.Time
	// abandoned is set if no request waits for the answer any more.
	abandoned bool
	// done is closed with the answer.
	done     chan struct{}
	answered bool
	grant    control.UsageGrant
}

func newUsage() usage {
	return usage{tenants: make(map[ident.Tenant]*tenantUsage), tolerance: defaultTolerance}
}

// WithQuotaTolerance sets by how much a tenant may exceed its quota in a window, as a time at its rate.
func WithQuotaTolerance(d time.Duration) Option { return func(f *Frontend) { f.usage.tolerance = d } }

// tenantUsage returns the usage of a tenant with the limit of the configuration in force; the lock is held.
func (f *Frontend) tenantUsage(now time.Time, t *tenant.Tenant, version int64) (u *tenantUsage) {
	if u = f.usage.tenants[t.Name]; u == nil {
		label := func(name string) *metrics.Counter {
			return f.metrics.set.GetOrCreateCounter(fmt.Sprintf("shallotring_frontend_%s_total{tenant=%q}", name, string(t.Name)))
		}
		u = &tenantUsage{
			Stock: quotastock.New(f.usage.tolerance), name: t.Name, lines: rate.NewLimiter(maxQuotaLines, maxQuotaLines),
			charged: label("usage_charged_units"), refunded: label("usage_refunded_units"), refused: label("usage_refusals"), unanswered: label("usage_unanswered"),
		}
		f.usage.tenants[t.Name] = u
	}
	if routes := f.routes.Load(); u.version == 0 || routes != nil && version == routes.Version {
		// A restored configuration may have a lower version.
		u.limit, u.version = t.Limit, version
	}
	u.usedAt = now
	return u
}

// chargeUsage charges a request to its tenant; refusal is not nil if the tenant's limit does not allow it.
func (f *Frontend) chargeUsage(ctx context.Context, x *request) (refusal *outcome.Refusal) {
	if x.tenant == nil || !x.tenant.Limit.Limited() {
		return nil
	}
	units := x.tenant.Limit.Units(x.call.PromptTokens + x.call.MaxOutputTokens)
	start := f.clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	u := f.tenantUsage(start, x.tenant, x.configuration)
	if u.Take(start, units) {
		f.recordCharge(start, x, u, units)
		f.askForStock(start, u)
		return nil
	}
	if retryAfter, denied := u.Denied(start, units); denied {
		return f.usageRefusal(x, u, units, 0, retryAfter)
	}
	g, answered := f.askForUsage(ctx, start, u, units)
	now := f.clock.Now()
	switch {
	case !answered:
		return f.chargeShare(now, x, u, units)
	case !g.Granted:
		retryAfter := milliseconds(g.RetryAfterMilli)
		u.Deny(now, units, milliseconds(g.WaitMilli), retryAfter)
		return f.usageRefusal(x, u, units, g.Left, retryAfter)
	}
	f.recordCharge(now, x, u, units)
	return nil
}

// chargeShare charges a request to this entry's own share of the limit, since no agent responds; the lock is held.
func (f *Frontend) chargeShare(now time.Time, x *request, u *tenantUsage, units float64) (refusal *outcome.Refusal) {
	u.unanswered.Inc()
	perSecond := u.limit.Rate / float64(f.entryCount(now))
	if f.usage.owners[quotapool.ShardOf(u.name)] != nil {
		perSecond *= silentOwnerShare
	}
	wait, ok := u.TakeShare(now, units, perSecond)
	if !ok {
		return f.usageRefusal(x, u, units, 0, wait)
	}
	f.recordCharge(now, x, u, units)
	return nil
}

// recordCharge records that a request was charged; the lock is held.
func (f *Frontend) recordCharge(now time.Time, x *request, u *tenantUsage, units float64) {
	x.usageCharge = usageCharge{chargedTenant: u.name, chargedUnits: units, chargedAt: now}
	u.RecordUsage(now, units)
	u.charged.Add(int(units))
}

// refundUsage takes back the charge of a request that has not run. Units of an older charge have expired.
func (f *Frontend) refundUsage(x *request) {
	c := x.usageCharge
	if x.usageCharge = (usageCharge{}); c.chargedUnits == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if u := f.usage.tenants[c.chargedTenant]; u != nil {
		u.Add(c.chargedUnits, c.chargedAt)
		u.refunded.Add(int(c.chargedUnits))
	}
}

// usageRefusal returns the refusal of a request beyond its tenant's limit; the lock is held.
func (f *Frontend) usageRefusal(x *request, u *tenantUsage, units, left float64, retryAfter time.Duration) *outcome.Refusal {
	u.refused.Inc()
	x.quotaLines = u.lines
	retryAfter = max(retryAfter, unavailableRetryAfter/10)
	return &outcome.Refusal{
		Reason: outcome.QuotaExceeded, RetryAfter: retryAfter + time.Duration(retrySpread*f.random.Float64()*float64(retryAfter)),
		Detail: fmt.Sprintf("of tenant %s: %.0f units wanted, %.0f left of %.0f/s", u.name, units, left, u.limit.Rate),
	}
}

// askForUsage asks the tenant's owner for the units of a request, and for stock; answered is false if there is none or it does not respond in
// time. The lock is held, but not while it waits.
func (f *Frontend) askForUsage(ctx context.Context, now time.Time, u *tenantUsage, units float64) (g control.UsageGrant, answered bool) {
	q := f.enqueueUsage(now, u, units)
	if q == nil {
		return g, false
	}
	f.mu.Unlock()
	t := f.clock.NewTimer(usageTimeout)
	defer t.Stop()
	select {
	case <-q.done:
	case <-t.C:
	case <-ctx.Done():
	}
	f.mu.Lock()
	q.abandoned = true
	return q.grant, q.answered
}

// askForStock asks the tenant's owner for stock if it is short; the lock is held.
func (f *Frontend) askForStock(now time.Time, u *tenantUsage) {
	if now.Sub(u.stockAskedAt) > usageTimeout && u.Shortage(now) > 0 {
		f.enqueueUsage(now, u, 0)
	}
}

// enqueueUsage queues a question for the units of a request, if any, and for stock; q is nil if there is no agent to ask. The lock is held.
func (f *Frontend) enqueueUsage(now time.Time, u *tenantUsage, units float64) (q *usageQuestion) {
	l := f.usage.owners[quotapool.ShardOf(u.name)]
	if l == nil {
		return nil
	}
	f.usage.sequence++
	r := control.UsageRequest{Shards: l.shards, Sequence: f.usage.sequence, Tenant: u.name, Limit: u.limit, Version: u.version, Units: units}
	if now.Sub(u.stockAskedAt) > usageTimeout {
		r.Stock = u.Shortage(now)
	}
	changed := u.owner != l || u.connection != l.connections
	if changed && u.owner != nil {
		r.Former, r.Claimed = true, u.Claim(now)
	}
	if !l.enqueue(control.UsageReport{Usage: &r}) {
		return nil
	}
	if l.waitingSince.IsZero() {
		l.waitingSince = now
	}
	if changed {
		u.owner, u.connection = l, l.connections
		f.log.Info("agent that grants usage of a tenant chosen", slog.String("Tenant", string(u.name)), slog.String("Address", l.address))
	}
	if r.Stock > 0 {
		u.stockAskedAt = now
	}
	q = &usageQuestion{tenant: u.name, units: units, askedAt: now, abandoned: units == 0, done: make(chan struct{})}
	l.questions[r.Sequence] = q
	return q
}

// handleUsage takes over the agent's response to a question for usage.
func (l *agentLink) handleUsage(g control.UsageGrant) {
	l.f.mu.Lock()
	defer l.f.mu.Unlock()
	q := l.questions[g.Sequence]
	if q == nil {
		return
	}
	delete(l.questions, g.Sequence)
	u := l.f.usage.tenants[q.tenant]
	if u == nil {
		return
	}
	u.Add(g.Stock, q.askedAt)
	u.RecordLeft(q.askedAt, g.Left)
	if u.stockAskedAt.Equal(q.askedAt) {
		u.stockAskedAt = time.Time{}
	}
	if q.abandoned {
		if g.Granted {
			u.Add(q.units, q.askedAt)
		}
		return
	}
	q.grant, q.answered = g, true
	close(q.done)
}

// milliseconds returns a duration of a message.
func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
