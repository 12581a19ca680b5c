package claim

import (
	"context"
	"sync"
	"time"

	"shallotring.dev/protocol/keyvalue"
	"shallotring.dev/state/ident"
)

// fault is the effect of a failure on one call of the fake store.
type fault int

const (
	noFault fault = iota
	// callRefused means that the call has no effect, which the caller is told.
	callRefused
	// responseLost means that the call takes effect and its response is lost.
	responseLost
	// effectDelayed means that the call takes effect only after effectDelay, when the caller has already timed out.
	effectDelayed
)

const effectDelay = 1500 * time.Millisecond

// fakeStore is an in-memory key-value service whose leases expire by the clock of the test.
type fakeStore struct {
	mu       sync.Mutex
	revision ident.Revision
	lease    keyvalue.LeaseID
	data     map[string]keyvalue.Record
	leases   map[keyvalue.LeaseID]time.Time
	// chooseFault returns the fault of a call.
	chooseFault func(operation string) fault
	// delay is the time between the effect of a successful call and its return.
	delay time.Duration
}

func newStore() *fakeStore {
	return &fakeStore{
		data: make(map[string]keyvalue.Record), leases: make(map[keyvalue.LeaseID]time.Time), chooseFault: func(string) fault { return noFault },
	}
}

// call applies the effect of a call, subject to the fault that chooseFault returns.
func (f *fakeStore) call(ctx context.Context, operation string, effect func() error) (err error) {
	apply := func() error {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.expire()
		return effect()
	}
	switch f.chooseFault(operation) {
	case callRefused:
		return keyvalue.ErrUnavailable
	case responseLost:
		_ = apply()
		return keyvalue.ErrOutcomeUnknown
	case effectDelayed:
		time.AfterFunc(effectDelay, func() { _ = apply() })
		<-ctx.Done()
		return keyvalue.ErrOutcomeUnknown
	}
	err = apply()
	time.Sleep(f.delay)
	return err
}

func (f *fakeStore) expire() {
	for id, end := range f.leases {
		if !time.Now().Before(end) {
			f.dropLease(id)
		}
	}
}

func (f *fakeStore) dropLease(id keyvalue.LeaseID) {
	delete(f.leases, id)
	for k, r := range f.data {
		if r.Lease == id {
			delete(f.data, k)
		}
	}
}

func (f *fakeStore) Get(ctx context.Context, key string) (r keyvalue.Record, found bool, err error) {
	// Results are read only on success, because a delayed effect runs after the return.
	var record keyvalue.Record
	var ok bool
	if err = f.call(ctx, "get", func() error {
		record, ok = f.data[key]
		return nil
	}); err == nil {
		r, found = record, ok
	}
	return r, found, err
}

func (f *fakeStore) CompareAndSwap(ctx context.Context, s keyvalue.Swap) (at ident.Revision, swapped bool, err error) {
	var revision ident.Revision
	if err = f.call(ctx, "swap", func() error {
		if _, ok := f.leases[s.Lease]; !ok {
			return keyvalue.ErrLeaseExpired
		}
		if f.data[s.Key].ModRevision != s.Expect {
			return nil
		}
		f.revision++
		f.data[s.Key] = keyvalue.Record{Key: s.Key, Value: s.Value, ModRevision: f.revision, Lease: s.Lease}
		revision = f.revision
		return nil
	}); err == nil {
		at, swapped = revision, revision != 0
	}
	return at, swapped, err
}

func (f *fakeStore) Grant(ctx context.Context, ttl time.Duration) (id keyvalue.LeaseID, err error) {
	var lease keyvalue.LeaseID
	if err = f.call(ctx, "grant", func() error {
		f.lease++
		lease = f.lease
		f.leases[lease] = time.Now().Add(ttl)
		return nil
	}); err == nil {
		id = lease
	}
	return id, err
}

func (f *fakeStore) KeepAlive(ctx context.Context, id keyvalue.LeaseID) (err error) {
	return f.call(ctx, "keep", func() error {
		if _, ok := f.leases[id]; !ok {
			return keyvalue.ErrLeaseExpired
		}
		f.leases[id] = time.Now().Add(LeaseTime)
		return nil
	})
}

func (f *fakeStore) Revoke(ctx context.Context, id keyvalue.LeaseID) (err error) {
	return f.call(ctx, "revoke", func() error {
		f.dropLease(id)
		return nil
	})
}
