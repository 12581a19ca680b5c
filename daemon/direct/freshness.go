package direct

import "time"

const (
	// readTime is reserved for one read of the store on a new connection; it is the timeout of a call as well.
	readTime = 500 * time.Millisecond
	// probeShare is the longest silence of the store, as a share of the time within which a configuration must be in force. The other half is
	// left for the end of a watch that an outage has swallowed, and a full read.
	probeShare = 0.5
	// freshnessReserve is what the longest sum of waits leaves of the contact time. Waits are no shorter than that needs, since a watch that
	// returns without a change is a call to the store as well.
	freshnessReserve = 250 * time.Millisecond
)

// freshness has the waits that bound how long an entry believes what the store has changed, while the store or the path to it may fail in any way.
// The bounds of the site give them, and their sums stay below these bounds; docs/design.md has the sums.
type freshness struct {
	// endpointPause collects the changes of many endpoints between two watches, since each response to a watch is a call to the store. endpointWait
	// is the longest wait of a watch of the endpoints, and endpointInterval the time between two full reads of them.
	endpointPause    time.Duration
	endpointWait     time.Duration
	endpointInterval time.Duration
	// operatorWait is the longest wait of a watch of the operators' keys.
	operatorWait time.Duration
	// watchMargin is the time that a watch may take beyond its wait.
	watchMargin time.Duration
	// probeInterval is the longest silence while a watch waits. During an interruption, probes follow at a quarter of it.
	probeInterval time.Duration
	// contact is the time after the end of an interruption at which it must have left no trace.
	contact time.Duration
}

// newFreshness returns the waits for the bounds of a site: the time after which a leaving endpoint must get nothing, the time within which a
// configuration must be in force, and the time for which a disturbance excuses a host.
func newFreshness(drain, configuration, contact time.Duration) freshness {
	drain = min(drain, contact*2/3)
	configuration = min(configuration, contact*2/3)
	f := freshness{endpointPause: drain / 2, endpointInterval: drain * 5 / 2, watchMargin: drain * 3 / 8, probeInterval: scale(configuration, probeShare), contact: contact}
	f.endpointWait = contact - freshnessReserve - f.silentConnection()
	f.operatorWait = contact - freshnessReserve - f.silentOperatorConnection()
	return f
}

// undisturbed is the age of what an entry believes of the endpoints while all calls are answered.
func (f freshness) undisturbed() time.Duration { return f.endpointPause + readTime }

// silentConnection is the time after which an entry knows what the store has, if the connection of a watch has gone silent and new ones work.
func (f freshness) silentConnection() time.Duration {
	return f.endpointPause + f.endpointWait + f.watchMargin + readTime
}

// silentOperatorConnection is the same for the operators' keys.
func (f freshness) silentOperatorConnection() time.Duration {
	return f.operatorWait + f.watchMargin + readTime
}

// interruption is the time after the end of an interruption of all calls after which an entry has read the store: a probe that was sent in it has to
// end, and another one and the read follow.
func (f freshness) interruption() time.Duration {
	return readTime + f.probeInterval/4 + readTime
}

// silentConnections is the time after which an entry has read the store, if all its open connections have gone silent: a call on one of them has to
// show it.
func (f freshness) silentConnections() time.Duration {
	return f.endpointPause + min(f.endpointWait+f.watchMargin, f.probeInterval+readTime) + readTime
}
