package live

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"shallotring.dev/platform/standin"
	"shallotring.dev/standin/link"
)

// revokeTimeout is the time after which a key that was taken away works at no entry, whether or not it reaches the store.
const revokeTimeout = 4 * time.Second

// key is the API key of a request: that which every configuration has, unknownKey, or the version of the configuration that added it. The next
// configuration has it too, later ones do not.
type key int64

const (
	lastingKey key = 0
	unknownKey key = -1
)

// String returns the key as callers send it.
func (k key) String() string { return fmt.Sprint("key-", int64(k)) }

// tenant returns the name of the tenant that holds the key.
func (k key) tenant() string {
	if k == lastingKey {
		return "lasting"
	}
	return "changing"
}

// tenants returns the tenants of a configuration.
func tenants(version int64) []standin.Tenant {
	changing := standin.Tenant{Name: key(version).tenant()}
	for v := max(1, version-1); v <= version; v++ {
		changing.Keys = append(changing.Keys, key(v).String())
	}
	return []standin.Tenant{{Name: lastingKey.tenant(), Keys: []string{lastingKey.String()}}, changing}
}

// randomKey returns a key for a request while a configuration is the newest one.
func randomKey(r *rand.Rand, version int64) key {
	switch n := r.IntN(8); {
	case n < 4:
		return lastingKey
	case n < 7:
		return key(max(1, version-r.Int64N(4)))
	}
	return unknownKey
}

// restorations has when the store was restored from an older copy, which may have keys that had been taken away.
type restorations struct {
	restoring  bool
	restoredAt time.Time
}

// beginRestoration records that the store is restored; the returned function records that the operators have written again what was lost.
func (j *judge) beginRestoration() (end func()) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.restoring = true
	return func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		j.restoring, j.restoredAt = false, time.Now()
	}
}

// runRevokePhase takes all keys but the lasting one away while an entry, or none, reaches the store, for longer than the keys may work there.
func (d *deployment) runRevokePhase(ctx context.Context, random *rand.Rand) (count int) {
	if ctx.Err() != nil {
		return 0
	}
	defer d.judge.beginFault()()
	if e := d.randomEntry(random); random.IntN(2) == 0 {
		e.storeLink.Set(link.Fault{Cut: true})
		defer e.storeLink.Set(link.Fault{})
	} else {
		d.store.SetDown(true)
		defer d.store.SetDown(false)
	}
	for range 2 {
		d.configure()
	}
	time.Sleep(revokeTimeout + randomDuration(random, 1000, 3000))
	return 1
}

// checkKey checks the tenant of a request that has reached an endpoint, and that a run had a key. It applies to all entries, also those that do not reach
// the store. The caller holds the lock.
func (j *judge) checkKey(c *call, a standin.Arrival) {
	if a.Credentials != "" || a.Tenant != c.key.tenant() {
		j.addViolationLocked("unasked", "tenant %q and credentials %q with %s: %s", a.Tenant, a.Credentials, c.key, c)
	}
	if c.key == unknownKey {
		j.addViolationLocked("keys", "request with a key that no configuration has: %s", c)
	}
	d := newestConfirmed(j.configurations, c.sentAt, revokeTimeout)
	if !a.Ran || c.key <= lastingKey || int64(c.key) >= d.version-1 || j.restoring || j.restoredAt.After(d.at) {
		return
	}
	j.addViolationLocked("keys", "request ran with %s, sent %s after configuration %d, which does not have it: %s", c.key, c.sentAt.Sub(d.at), d.version, c)
}

// checkUnauthorized checks a response that reports an unknown key; the caller holds the lock.
func (j *judge) checkUnauthorized(c *call) {
	last := j.configurations[len(j.configurations)-1].version
	switch {
	case c.key == lastingKey:
		j.addViolationLocked("denied", "status 401 with a key that every configuration has: %s", c)
	case c.key == unknownKey || last > int64(c.key)+1:
		return
	}
	if d := newestConfirmed(j.configurations, c.sentAt, configurationTimeout); d.version >= int64(c.key) && j.quietBefore(d.at) && j.quietBefore(c.sentAt) {
		j.addViolationLocked("configuration", "%s is not in force %s after its confirmation: %s", c.key, c.sentAt.Sub(d.at), c)
	}
}
