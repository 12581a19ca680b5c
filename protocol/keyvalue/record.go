package keyvalue

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"shallotring.dev/state/ident"
)

// LeaseID identifies a lease of the service; zero means no lease.
type LeaseID int64

// Record is one key with its value.
type Record struct {
	Key            string
	Value          []byte
	CreateRevision ident.Revision
	ModRevision    ident.Revision
	Lease          LeaseID
}

// Swap is one compare-and-swap operation.
type Swap struct {
	Key string
	// Expect is the ModRevision that the key must have; zero means that the key must be absent.
	Expect ident.Revision
	Value  []byte
	Lease  LeaseID
	// Delete deletes the key instead of storing Value.
	Delete bool
}

// Change is one change that a watch reports.
type Change struct {
	Record
	Deleted bool
}

// Errors that callers distinguish.
var (
	// ErrUnavailable means that the call certainly had no effect, for example because no connection could be made.
	ErrUnavailable = eris.New("key-value service is unavailable")
	// ErrOutcomeUnknown means that a write may have taken effect; the caller has to read the key to find out.
	ErrOutcomeUnknown = eris.New("outcome of the key-value write is unknown")
	// ErrCompacted means that a watch requested revisions that have been compacted; the caller has to list all keys again.
	ErrCompacted = eris.New("watch revision has been compacted")
	// ErrLeaseExpired means that the lease no longer exists.
	ErrLeaseExpired = eris.New("lease has expired")
)

// Store is the complete interface of the service; packages that use it declare the methods that they need.
type Store interface {
	// Get reads one key; found is false if it is absent.
	Get(ctx context.Context, key string) (r Record, found bool, err error)
	// List reads all keys with the prefix and returns the revision of the service at which they were read.
	List(ctx context.Context, prefix string) (list []Record, at ident.Revision, err error)
	// CompareAndSwap stores the value if the key has the expected revision; swapped is false on a conflict.
	CompareAndSwap(ctx context.Context, s Swap) (at ident.Revision, swapped bool, err error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (id LeaseID, err error)
	// KeepAlive renews a lease once.
	KeepAlive(ctx context.Context, id LeaseID) (err error)
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, id LeaseID) (err error)
	// Watch calls fn for each change of keys with the prefix after the revision, until ctx ends or an error occurs.
	// fn is also called with no changes and the newest revision when the service reports progress.
	Watch(ctx context.Context, prefix string, after ident.Revision, fn func(changes []Change, at ident.Revision) error) (err error)
}
