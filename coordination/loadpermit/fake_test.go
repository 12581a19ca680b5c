package loadpermit

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"shallotring.dev/coordination/registry"
	"shallotring.dev/protocol/keyvalue"
	"shallotring.dev/protocol/wire"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/permit"
	"shallotring.dev/state/resource"
)

// fault is the effect of a failure on one call.
type fault int

const (
	noFault fault = iota
	// callRefused means that the call has no effect and fails.
	callRefused
	// responseLost means that the call takes effect but its caller gets no response.
	responseLost
)

// fakeStore is a key-value service with one key and leases; it uses the clock of the test.
type fakeStore struct {
	mu          sync.Mutex
	lastLease   keyvalue.LeaseID
	leases      map[keyvalue.LeaseID]time.Time
	record      *keyvalue.Record
	delay       time.Duration
	chooseFault func(operation string) fault
}

func newStore() *fakeStore {
	return &fakeStore{leases: map[keyvalue.LeaseID]time.Time{}, chooseFault: func(string) fault { return noFault }}
}

func (f *fakeStore) call(operation string, effect func() error) (err error) {
	f.mu.Lock()
	delay := f.delay
	f.mu.Unlock()
	time.Sleep(delay)
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, end := range f.leases {
		if !time.Now().Before(end) {
			f.dropLease(id)
		}
	}
	switch f.chooseFault(operation) {
	case callRefused:
		return keyvalue.ErrUnavailable
	case responseLost:
		_ = effect()
		return keyvalue.ErrOutcomeUnknown
	}
	return effect()
}

func (f *fakeStore) dropLease(id keyvalue.LeaseID) {
	delete(f.leases, id)
	if f.record != nil && f.record.Lease == id {
		f.record = nil
	}
}

func (f *fakeStore) Get(context.Context, string) (r keyvalue.Record, found bool, err error) {
	err = f.call("get", func() error {
		if f.record != nil {
			r, found = *f.record, true
		}
		return nil
	})
	return r, found, err
}

func (f *fakeStore) CompareAndSwap(_ context.Context, s keyvalue.Swap) (at ident.Revision, swapped bool, err error) {
	err = f.call("swap", func() error {
		if _, ok := f.leases[s.Lease]; !ok {
			return keyvalue.ErrLeaseExpired
		}
		if f.record == nil {
			f.record, swapped = &keyvalue.Record{Key: s.Key, Value: s.Value, Lease: s.Lease}, true
		}
		return nil
	})
	return at, swapped && err == nil, err
}

func (f *fakeStore) Grant(_ context.Context, ttl time.Duration) (id keyvalue.LeaseID, err error) {
	err = f.call("grant", func() error {
		f.lastLease++
		id = f.lastLease
		f.leases[id] = time.Now().Add(ttl)
		return nil
	})
	return id, err
}

func (f *fakeStore) KeepAlive(_ context.Context, id keyvalue.LeaseID) (err error) {
	return f.call("keep", func() error {
		if _, ok := f.leases[id]; !ok {
			return keyvalue.ErrLeaseExpired
		}
		f.leases[id] = time.Now().Add(registry.LeaseTime)
		return nil
	})
}

func (f *fakeStore) Revoke(_ context.Context, id keyvalue.LeaseID) (err error) {
	return f.call("revoke", func() error {
		f.dropLease(id)
		return nil
	})
}

// policy is a configuration that contains only a policy.
type policy struct{ set *resource.Set }

func newPolicy(rate float64, inFlight int) policy {
	p := resource.DefaultPolicy()
	p.LoadsPerSecond, p.LoadsInFlight = rate, inFlight
	shard := &resource.Shard{}
	shard.Put(&p)
	return policy{resource.NewSet().Apply(0, 1, shard)}
}

func (p policy) Current() *resource.Set { return p.set }

// grant is one permit that a holder granted.
type grant struct {
	at     time.Time
	holder string
}

// network connects agents to holders by address.
type network struct {
	mu          sync.Mutex
	holders     map[string]*Holder
	grants      []grant
	chooseFault func() fault
}

func newNetwork() *network {
	return &network{holders: map[string]*Holder{}, chooseFault: func() fault { return noFault }}
}

func (n *network) addHolder(s Store, c Configuration, address string) *Holder {
	n.mu.Lock()
	defer n.mu.Unlock()
	h := NewHolder(s, registry.ProcessRecord{Process: ident.Process(address), Role: registry.RoleEntry, Address: address}, c)
	n.holders[address] = h
	return h
}

func (n *network) granter(address string) Granter { return &connection{n, address} }

type connection struct {
	*network
	address string
}

func (c *connection) Permit(ctx context.Context, request *wire.PermitRequest) (response *wire.PermitResponse, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.chooseFault()
	if f == callRefused {
		return nil, twirp.NewError(twirp.Unavailable, "refused")
	}
	response, err = c.holders[c.address].Permit(ctx, request)
	for range response.GetGranted() {
		c.grants = append(c.grants, grant{time.Now(), c.address})
	}
	if f == responseLost {
		return nil, twirp.NewError(twirp.Unavailable, "response lost")
	}
	return response, err
}

// fixedShare is one agent's share of the budget; its grants are recorded with those of the holders.
type fixedShare struct {
	network *network
	budget  *permit.Budget
}

func newFixedShare(n *network, agents int) *fixedShare {
	return &fixedShare{n, permit.New(testRate/float64(agents), 1, time.Now())}
}

func (s *fixedShare) Take(_ context.Context, e ident.Endpoint, _ int, _ time.Duration) (g permit.Grant, err error) {
	s.network.mu.Lock()
	defer s.network.mu.Unlock()
	if !s.budget.Take(time.Now(), e) {
		return permit.Grant{Expiry: permit.UnusedPermitTimeout}, nil
	}
	s.network.grants = append(s.network.grants, grant{time.Now(), string(e)})
	return permit.Grant{Granted: 1, Expiry: permit.UnusedPermitTimeout}, nil
}

func (s *fixedShare) Done(e ident.Endpoint) {
	s.network.mu.Lock()
	defer s.network.mu.Unlock()
	s.budget.Done(e)
}

// noShare grants nothing, so that all permits come from holders.
type noShare struct{}

func (noShare) Take(context.Context, ident.Endpoint, int, time.Duration) (g permit.Grant, err error) {
	return g, nil
}

func (noShare) Done(ident.Endpoint) {}

// countingShare grants one permit at each request and counts the calls.
type countingShare struct{ taken, done int }

func (s *countingShare) Take(context.Context, ident.Endpoint, int, time.Duration) (g permit.Grant, err error) {
	s.taken++
	return permit.Grant{Granted: 1, Expiry: time.Second}, nil
}

func (s *countingShare) Done(ident.Endpoint) { s.done++ }

// randomFault draws the fault of one call from a seeded source; percent is the share of calls with a fault.
func randomFault(r *rand.Rand, percent int) fault {
	switch n := r.IntN(100); {
	case n < percent/2:
		return callRefused
	case n < percent:
		return responseLost
	}
	return noFault
}
