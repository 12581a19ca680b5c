package sendpool

import (
	"sync"
	"time"

	"shallotring.dev/state/ident"
	"shallotring.dev/state/sendlimit"
)

const (
	// probePerSecond is the least rate of requests to an endpoint whose limit can end unnoticed: only the response to a request tells.
	probePerSecond = 0.2
	// expiry is the time after which the limit of an endpoint that nobody asks for is forgotten.
	expiry = time.Minute
	// staleTime is the time for which entries may still ask with a limit that has ended.
	staleTime = 2 * time.Second
)

// Grant is the response to a request for one send.
type Grant struct {
	Granted bool
	// Wait is the time until the request may be sent, or, if it is not granted, until one could be sent at once.
	Wait time.Duration
	// Limit is the endpoint's limit; without one, every request is granted.
	Limit sendlimit.Limit
}

// Pool has the limits of endpoints and the sends that they allow. Its methods may be called from any goroutine.
type Pool struct {
	mu        sync.Mutex
	endpoints map[ident.Endpoint]*endpoint
}

type endpoint struct {
	// limit is unnamed since endedAt if it has ended.
	limit   sendlimit.Limit
	endedAt time.Time
	budget  *sendlimit.Budget
	usedAt  time.Time
	// reported is set if the endpoint's reports have named a limit, so that they also tell its end.
	reported bool
}

// New returns a pool without limits.
func New() *Pool { return &Pool{endpoints: make(map[ident.Endpoint]*endpoint)} }

// Observe records the limit that a response to a request names, or that it names none.
func (p *Pool) Observe(now time.Time, name ident.Endpoint, l sendlimit.Limit) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.set(now, name, l, false)
}

// ObserveReport records the limit that a report of an endpoint names. A report without a limit ends one only if reports have named it.
func (p *Pool) ObserveReport(now time.Time, name ident.Endpoint, l sendlimit.Limit) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.endpoints[name]; !l.Named && (e == nil || !e.reported) {
		return
	}
	p.set(now, name, l, l.Named)
}

// set is Observe with the lock held.
func (p *Pool) set(now time.Time, name ident.Endpoint, l sendlimit.Limit, reported bool) {
	e := p.endpoints[name]
	if e == nil {
		if !l.Named {
			return
		}
		p.expire(now)
		e = &endpoint{}
		p.endpoints[name] = e
	}
	if !l.Named {
		if e.limit.Named {
			e.endedAt = now
		}
		e.limit, e.budget = l, nil
		return
	}
	e.limit, e.usedAt, e.reported = l, now, e.reported || reported
	perSecond := l.PerSecond
	if !e.reported {
		perSecond = max(perSecond, probePerSecond)
	}
	if e.budget == nil {
		e.budget = sendlimit.NewBudget(now, perSecond, 0)
	}
	e.budget.SetRate(now, perSecond)
}

// Reserve hands out one send to an endpoint that is due within maxWait. known is the limit that the asking entry knows; it counts if the
// pool knows none and has not known one for staleTime.
func (p *Pool) Reserve(now time.Time, name ident.Endpoint, known sendlimit.Limit, maxWait time.Duration) (g Grant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.endpoints[name]
	if e == nil || !e.limit.Named && now.Sub(e.endedAt) >= staleTime {
		p.set(now, name, known, false)
		e = p.endpoints[name]
	}
	if e == nil || !e.limit.Named {
		return Grant{Granted: true}
	}
	e.usedAt = now
	g.Limit = e.limit
	g.Wait, g.Granted = e.budget.Reserve(now, maxWait)
	return g
}

// Limit returns the limit of an endpoint.
func (p *Pool) Limit(name ident.Endpoint) (l sendlimit.Limit) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.endpoints[name]; e != nil {
		l = e.limit
	}
	return l
}

// Forget forgets the limit of an endpoint, whose next incarnation has named none.
func (p *Pool) Forget(name ident.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.endpoints, name)
}

// expire forgets the endpoints that nobody asks for; the lock is held.
func (p *Pool) expire(now time.Time) {
	for name, e := range p.endpoints {
		if !e.reported && now.Sub(e.usedAt) > expiry {
			delete(p.endpoints, name)
		}
	}
}
