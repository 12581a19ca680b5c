package quotapool

import (
	"sync"
	"time"

	"shallotring.dev/state/ident"
	"shallotring.dev/state/tenant"
	"shallotring.dev/state/tokenbucket"
)

const (
	// stockShare is the part of the burst that stays for requests when an entry asks for stock.
	stockShare = 0.5
	// versionMemory is the time for which a lower configuration version than the highest one does not count.
	versionMemory = 5 * time.Second
	// maxReturnDelay bounds the time for which refused callers are asked to stay away.
	maxReturnDelay = 10 * time.Second
	// claimTime is the time after which an owner does not take over any more what was left at a former one.
	claimTime = time.Second
	// freshTime is the time for which a pool counts as new.
	freshTime = 10 * time.Second
	// idleTime is the time after which a tenant with a full bucket is forgotten.
	idleTime = time.Minute
)

// Usage is what an entry asks to be allowed to a tenant.
type Usage struct {
	Tenant ident.Tenant
	Limit  tenant.Limit
	// Version is the configuration that names the limit.
	Version int64
	// Units are for one request, granted as a whole, and Stock for later ones.
	Units float64
	Stock float64
	// Returned units were granted before and not used.
	Returned float64
	// Former is set in the first question to an owner if the entry has asked another one before, at which Claimed units were left.
	Former  bool
	Claimed float64
}

// Grant is the response to a Usage.
type Grant struct {
	// Granted is whether the Units may be used.
	Granted bool
	// Wait is the time until the units could be granted if they are not.
	Wait time.Duration
	// RetryAfter is the time after which a refused caller is expected to find room, one after the other.
	RetryAfter time.Duration
	// Stock is the part of the stock that is granted.
	Stock float64
	// Left is the number of units that are left.
	Left float64
}

// Pool grants usage to entries. Its methods may be called from any goroutine.
type Pool struct {
	mu sync.Mutex
	// initial is what a tenant begins with at a new pool, which joinedAt is the beginning of.
	initial  float64
	joinedAt time.Time
	members  membership
	tenants  map[ident.Tenant]*account
}

type account struct {
	bucket *tokenbucket.Bucket
	// since is the time from which the bucket fills; claimed is set once it has taken over what was left at a former owner.
	since   time.Time
	claimed bool
	limit   tenant.Limit
	version int64
	// heardAt is the time at which an entry last named the version.
	heardAt time.Time
	usedAt  time.Time
	// returnAt is the time by which the callers that were refused are expected back.
	returnAt time.Time
}

// New returns a pool without entries. While the pool is new, tenants begin with some units unless entries know of a former owner: all processes have
// started, and nothing tells what was used before.
func New(initial float64) *Pool {
	return &Pool{initial: initial, members: membership{entries: make(map[ident.Host]*member)}, tenants: make(map[ident.Tenant]*account)}
}

// Join records the connection of an entry that chooses this pool for a set of shards; the number identifies the connection.
func (p *Pool) Join(now time.Time, host ident.Host, connection int64, shards Shards) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.joinedAt.IsZero() {
		p.joinedAt = now
	}
	p.members.join(now, host, connection, shards)
	p.forgetUnowned()
}

// Leave records the end of a connection; silent means that the entry may be alive and out of reach.
func (p *Pool) Leave(now time.Time, host ident.Host, connection int64, silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.members.leave(now, host, connection, silent)
	p.forgetUnowned()
}

// Ask grants or denies usage.
func (p *Pool) Ask(now time.Time, u Usage) (g Grant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.account(now, u)
	a.bucket.Return(now, u.Returned)
	p.takeOver(now, a, u)
	if u.Units > 0 {
		g = a.reserve(now, u.Units)
	}
	if u.Stock > 0 && a.bucket.Level(now)-u.Stock >= stockShare*a.limit.Burst {
		if _, ok := a.bucket.Reserve(now, u.Stock, 0); ok {
			g.Stock = u.Stock
		}
	}
	g.Left = a.bucket.Level(now)
	return g
}

// takeOver adds what is left of the time before this pool granted usage; the lock is held.
func (p *Pool) takeOver(now time.Time, a *account, u Usage) {
	claimed := u.Claimed
	switch {
	case a.claimed:
		return
	case !u.Former && now.Sub(p.joinedAt) < freshTime:
		claimed = p.initial
	case now.Sub(a.since) >= claimTime:
		return
	}
	if claimed > 0 {
		a.claimed = true
		a.bucket.Return(now, claimed)
	}
}

// account returns the account of a tenant with the limit in force; the lock is held.
func (p *Pool) account(now time.Time, u Usage) (a *account) {
	share, since := p.members.share(now, ShardOf(u.Tenant))
	if a = p.tenants[u.Tenant]; a == nil {
		p.expire(now)
		a = &account{bucket: tokenbucket.New(since), since: since}
		p.tenants[u.Tenant] = a
	}
	if u.Version >= a.version || now.Sub(a.heardAt) > versionMemory {
		a.limit, a.version, a.heardAt = u.Limit, u.Version, now
	}
	a.usedAt = now
	a.bucket.SetLimit(now, a.limit.Rate*share, a.limit.Burst*share)
	return a
}

func (a *account) reserve(now time.Time, units float64) (g Grant) {
	if g.Wait, g.Granted = a.bucket.Reserve(now, units, 0); g.Granted {
		return g
	}
	earliest := now.Add(g.Wait)
	if a.returnAt.Before(earliest) {
		a.returnAt = earliest
	}
	if next := a.returnAt.Add(time.Duration(units / a.limit.Rate * float64(time.Second))); next.Sub(now) <= maxReturnDelay {
		a.returnAt = next
	}
	g.RetryAfter = a.returnAt.Sub(now)
	return g
}

// expire forgets the tenants that are not in use and whose limit has no effect; the lock is held.
func (p *Pool) expire(now time.Time) {
	for name, a := range p.tenants {
		if now.Sub(a.usedAt) > idleTime && a.bucket.Full(now) {
			delete(p.tenants, name)
		}
	}
}

// forgetUnowned forgets what has accrued for tenants that no entry asks this pool for any more: another one grants to them now. While all entries are
// gone, nobody grants; the lock is held.
func (p *Pool) forgetUnowned() {
	if len(p.members.entries) == 0 {
		return
	}
	for name := range p.tenants {
		if p.members.count[ShardOf(name)] == 0 {
			delete(p.tenants, name)
		}
	}
}
