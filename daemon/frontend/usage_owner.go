package frontend

import (
	"encoding/binary"
	"log/slog"
	"time"

	"github.com/cespare/xxhash/v2"

	"shallotring.dev/protocol/control"
	"shallotring.dev/state/quotapool"
)

// refreshUsage chooses the agents that grant usage, returns stock that is not needed and forgets idle tenants; the lock is held.
func (f *Frontend) refreshUsage(now time.Time) {
	t := f.routes.Load()
	if t == nil || !t.Tenants.HasLimits() {
		return
	}
	f.chooseOwners(now)
	for name, u := range f.usage.tenants {
		if units := u.Unneeded(now); units > 0 {
			f.returnStock(u, units)
		}
		if now.Sub(u.usedAt) > usageIdleTime {
			delete(f.usage.tenants, name)
		}
	}
	for _, l := range f.links {
		for sequence, q := range l.questions {
			if now.Sub(q.askedAt) > stateExpiry {
				delete(l.questions, sequence)
			}
		}
	}
}

// ownerSilence is the time without any message after a question from which an agent counts as frozen; it answers questions as they arrive.
const ownerSilence = 300 * time.Millisecond

// agentUsage is what an entry knows of an agent that may grant usage; the frontend's lock guards it.
type agentUsage struct {
	hash uint64
	// connected is set while messages arrive, the last one at heardAt.
	connected bool
	heardAt   time.Time
	// connections is the number of connections that have ended.
	connections int
	// dialedSince is the time of the first attempt to connect, until the connection is there or has failed.
	dialedSince time.Time
	// waitingSince is the time of the first question since the last message; zero if there is none.
	waitingSince time.Time
	// shards are those for which the agent is chosen; shardsTold is set once it has been told on this connection.
	shards     quotapool.Shards
	shardsTold bool
	// questions are those that the agent has not answered, by their sequence.
	questions map[int64]*usageQuestion
}

func newAgentUsage(address string) agentUsage {
	return agentUsage{hash: xxhash.Sum64String(address), questions: make(map[int64]*usageQuestion)}
}

// setConnected records that a message of the agent has arrived, or the end of its connection.
func (l *agentLink) setConnected(connected bool) {
	l.f.mu.Lock()
	defer l.f.mu.Unlock()
	l.connected, l.heardAt, l.waitingSince, l.dialedSince = connected, l.f.clock.Now(), time.Time{}, time.Time{}
	if !connected {
		l.connections++
		l.shardsTold = false
		l.f.refreshUsage(l.heardAt)
	}
}

// grantsUsage reports whether an agent can be asked for usage.
func (l *agentLink) grantsUsage(now time.Time) bool {
	silent := !l.waitingSince.IsZero() && now.Sub(l.waitingSince) > ownerSilence
	return l.connected && !silent && l.state != nil && l.state.SharesUsage && now.Sub(l.heardAt) <= stateExpiry
}

// dialing reports whether the first connection to an agent is being made. Such an agent may be chosen: an entry that starts would otherwise ask one after the
// other, each with an empty bucket, while its connections are made.
func (l *agentLink) dialing(now time.Time) bool {
	return !l.dialedSince.IsZero() && now.Sub(l.dialedSince) < agentDialTimeout
}

// chooseOwners chooses the agent that grants usage to the tenants of each shard, which is the same one at all entries that are connected to the
// same agents, and tells the agents; the lock is held.
func (f *Frontend) chooseOwners(now time.Time) {
	var candidates []*agentLink
	among := uint64(0)
	for _, l := range f.links {
		if l.grantsUsage(now) || l.dialing(now) {
			candidates = append(candidates, l)
			among += l.hash
		}
	}
	if among != f.usage.chosenAmong {
		f.usage.chosenAmong = among
		f.assignShards(candidates)
	}
	for _, l := range candidates {
		if l.connected && !l.shardsTold && l.enqueue(control.UsageReport{Usage: &control.UsageRequest{Shards: l.shards}}) {
			l.shardsTold = true
		}
	}
}

// assignShards assigns each shard to one of the candidates; the lock is held.
func (f *Frontend) assignShards(candidates []*agentLink) {
	shards := make(map[*agentLink]quotapool.Shards)
	for i := range f.usage.owners {
		var owner *agentLink
		highest := uint64(0)
		for _, l := range candidates {
			if h := mix(l.hash, uint64(i)); owner == nil || h > highest {
				owner, highest = l, h
			}
		}
		if f.usage.owners[i] = owner; owner != nil {
			shards[owner] |= 1 << i
		}
	}
	for _, l := range f.links {
		if l.shards != shards[l] {
			l.shards, l.shardsTold = shards[l], false
		}
	}
	f.log.Info("agents that grant usage of tenants chosen", slog.Int("Agents", len(candidates)), slog.Int("Owners", len(shards)))
}

// returnStock returns units to the tenant's owner; the lock is held.
func (f *Frontend) returnStock(u *tenantUsage, units float64) {
	if l := f.usage.owners[quotapool.ShardOf(u.name)]; l != nil {
		l.enqueue(control.UsageReport{Usage: &control.UsageRequest{Shards: l.shards, Tenant: u.name, Limit: u.limit, Version: u.version, Returned: units}})
	}
}

// mix combines the hash of an agent with a shard.
func mix(hash, shard uint64) uint64 {
	return xxhash.Sum64(binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint64(nil, hash), shard))
}
