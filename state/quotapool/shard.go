package quotapool

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"shallotring.dev/state/ident"
)

// ShardCount is the number of shards that the tenants are divided into.
const ShardCount = 64

// Shards is a set of shards, one bit each.
type Shards uint64

// ShardOf returns the shard of a tenant.
func ShardOf(t ident.Tenant) (shard int) { return int(xxhash.Sum64String(string(t)) % ShardCount) }

// Has reports whether a shard is in the set.
func (s Shards) Has(shard int) bool { return s&(1<<shard) != 0 }

// silentMemory is the time for which an entry whose connection has ended without a word counts: it may be out of reach and ask another pool.
const silentMemory = 10 * time.Second

// membership knows the entries and the shards that each chooses this pool for.
type membership struct {
	entries map[ident.Host]*member
	// silent is the number of entries whose connection has ended without a word.
	silent int
	// count is the number of entries that choose this pool for each shard, since the time at which it was 0.
	count [ShardCount]int
	since [ShardCount]time.Time
}

type member struct {
	connection int64
	shards     Shards
	// silentAt is zero while the entry is connected.
	silentAt time.Time
}

func (m *membership) join(now time.Time, host ident.Host, connection int64, shards Shards) {
	e := m.entries[host]
	if e == nil {
		e = &member{}
		m.entries[host] = e
	}
	if connection < e.connection {
		return
	}
	if !e.silentAt.IsZero() {
		m.silent--
	}
	e.connection, e.silentAt = connection, time.Time{}
	m.set(now, e, shards)
}

func (m *membership) leave(now time.Time, host ident.Host, connection int64, silent bool) {
	e := m.entries[host]
	if e == nil || e.connection != connection || !e.silentAt.IsZero() {
		return
	}
	m.set(now, e, 0)
	if !silent {
		delete(m.entries, host)
		return
	}
	e.silentAt = now
	m.silent++
}

func (m *membership) set(now time.Time, e *member, shards Shards) {
	for i := range ShardCount {
		switch {
		case shards.Has(i) && !e.shards.Has(i):
			if m.count[i] == 0 {
				m.since[i] = now
			}
			m.count[i]++
		case !shards.Has(i) && e.shards.Has(i):
			m.count[i]--
		}
	}
	e.shards = shards
}

// share returns the part of all entries that choose this pool for a shard, and since when any has.
func (m *membership) share(now time.Time, shard int) (share float64, since time.Time) {
	if m.silent > 0 {
		m.forgetSilent(now)
	}
	if m.count[shard] == 0 {
		return 0, now
	}
	return float64(m.count[shard]) / float64(len(m.entries)), m.since[shard]
}

// forgetSilent forgets the entries that have been silent for silentMemory.
func (m *membership) forgetSilent(now time.Time) {
	for host, e := range m.entries {
		if !e.silentAt.IsZero() && now.Sub(e.silentAt) > silentMemory {
			delete(m.entries, host)
			m.silent--
		}
	}
}
