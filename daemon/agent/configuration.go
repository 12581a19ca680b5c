package agent

import (
	"context"
	"time"

	"shallotring.dev/coordination/claim"
	"shallotring.dev/protocol/wire"
	"shallotring.dev/state/gate"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/resource"
	"shallotring.dev/transport/timeline"
)

// refreshTimeout limits one refresh of the configuration, for which a try or a newly acquired claim waits.
const refreshTimeout = 2 * time.Second

// waitForDeclaration waits until the endpoint is declared and neither the endpoint nor its host is leaving.
func (a *Agent) waitForDeclaration(ctx context.Context) (e *resource.Endpoint, err error) {
	a.setNotReady("waiting for the declaration of the endpoint")
	for {
		e, ok := a.configuration.Current().Endpoint(a.settings.Endpoint)
		wait := configurationPollInterval
		if ok && !e.Leaving {
			if !a.hostLeaving(ctx) {
				return e, nil
			}
			a.setNotReady("host is leaving")
			wait = hostListPollInterval
		}
		if err = a.sleep(ctx, wait); err != nil {
			return nil, err
		}
	}
}

// watchConfiguration forwards changes of the Endpoint resource to the gate. A deleted resource counts as leaving.
func (a *Agent) watchConfiguration() {
	var last *resource.Set
	for a.sleep(a.work, configurationPollInterval) == nil {
		set := a.configuration.Current()
		if set == last {
			continue
		}
		last = set
		a.log.Event(timeline.Event{Kind: timeline.ConfigurationInForce, Revision: set.Generation()})
		e, ok := set.Endpoint(a.settings.Endpoint)
		if !ok || e.Leaving {
			a.drain("endpoint is leaving or no longer declared")
			continue
		}
		a.post(gate.Configure{BatchSize: e.BatchSize, Slots: e.AdapterSlots(), LoadTime: time.Duration(set.Policy().LoadTime)})
	}
}

// declaration returns the declaration of the resource that a try names. It refreshes the configuration first if the sender
// knows a newer revision of the resource.
func (a *Agent) declaration(ctx context.Context, r *wire.RunRequest) (d gate.Declaration) {
	wantedRevision := ident.Revision(r.GetResourceRevision())
	d = a.lookUpDeclaration(r)
	if wantedRevision <= d.Revision {
		return d
	}
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	if err := a.configuration.Refresh(ctx, wantedRevision); err != nil {
		a.log.WarnContext(ctx, "configuration refresh failed; the try is checked against the configuration in force", errorAttr(err))
	}
	return a.lookUpDeclaration(r)
}

func (a *Agent) lookUpDeclaration(r *wire.RunRequest) (d gate.Declaration) {
	set := a.configuration.Current()
	e, ok := set.Endpoint(a.settings.Endpoint)
	if !ok {
		return d
	}
	if e.Kind == resource.Service {
		d.Declared = true
		d.Revision = set.ResourceRevision(resource.Name{Kind: resource.KindEndpoint, Name: string(e.Name)})
		return d
	}
	d.Revision = set.ResourceRevision(resource.Name{Kind: resource.KindAdapter, Name: r.GetAdapter()})
	adapter, ok := set.Adapter(ident.Adapter(r.GetAdapter()))
	if !ok || r.GetVersion() == "" || adapter.BaseModel != e.BaseModel {
		return d
	}
	version, ok := adapter.Version(ident.Version(r.GetVersion()))
	d.Declared, d.Path, d.Digest = ok, version.Path, version.Digest
	return d
}

// callerShares are the scheduling weights of the callers in one configuration.
type callerShares struct {
	set     *resource.Set
	weights map[ident.Caller]float64
}

func (a *Agent) callerShare(c ident.Caller) float64 {
	set := a.configuration.Current()
	cached := a.shares.Load()
	if cached == nil || cached.set != set {
		cached = &callerShares{set: set, weights: make(map[ident.Caller]float64)}
		for _, x := range set.Callers() {
			cached.weights[x.Name] = x.Share
		}
		a.shares.Store(cached)
	}
	if w := cached.weights[c]; w > 0 {
		return w
	}
	return 1
}

// keepClaim renews the claim and reports its status to the gate.
func (a *Agent) keepClaim() {
	err := a.claim.Keep(a.work, a.handleClaimChange)
	if a.work.Err() == nil {
		a.stopOnError(err)
	}
}

// handleClaimChange forwards the status of the claim to the gate. A claim that was acquired again counts as held only once the
// configuration is as new as the claim: an agent that was partitioned may not know yet that its endpoint is leaving.
func (a *Agent) handleClaimChange(s claim.Status, i ident.Incarnation) {
	change := a.claimChanges.Add(1)
	switch s {
	case claim.Held:
		if a.claimIncarnation.Swap(int64(i)) == int64(i) {
			a.postClaim(change, gate.Claim{Status: gate.ClaimHeld, Incarnation: i})
			return
		}
		a.log.Event(timeline.Event{Kind: timeline.EndpointClaimed, Endpoint: a.settings.Endpoint, Incarnation: i})
		a.spawn(func() { a.resumeClaim(change, i) })
	case claim.Uncertain:
		a.postClaim(change, gate.Claim{Status: gate.ClaimUncertain, Incarnation: i})
	default:
		a.postClaim(change, gate.Claim{Status: gate.ClaimLost, Incarnation: i})
	}
}

// resumeClaim refreshes the configuration to the revision of the claim and then reports the claim to the gate as held.
func (a *Agent) resumeClaim(change int64, i ident.Incarnation) {
	for {
		ctx, cancel := context.WithTimeout(a.work, refreshTimeout)
		err := a.configuration.Refresh(ctx, ident.Revision(i))
		cancel()
		if err == nil {
			break
		}
		a.log.Warn("acquired claim is not used yet, because the configuration refresh failed", errorAttr(err))
		if a.sleep(a.work, configurationPollInterval) != nil || a.claimChanges.Load() != change {
			return
		}
	}
	if e, ok := a.configuration.Current().Endpoint(a.settings.Endpoint); !ok || e.Leaving {
		a.drain("endpoint is leaving or no longer declared")
	}
	a.postClaim(change, gate.Claim{Status: gate.ClaimHeld, Incarnation: i})
}

// postClaim posts a change of the claim to the gate, unless a later change has superseded it.
func (a *Agent) postClaim(change int64, c gate.Claim) {
	a.claimMu.Lock()
	defer a.claimMu.Unlock()
	if a.claimChanges.Load() == change {
		a.post(c)
	}
}

func (a *Agent) sleep(ctx context.Context, d time.Duration) (err error) {
	t := a.clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
