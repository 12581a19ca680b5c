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

// refreshTimeout bounds the wait of a try for a newer configuration.
const refreshTimeout = 2 * time.Second

// declared waits until the endpoint is declared and neither it nor its host is leaving.
func (a *Agent) declared(ctx context.Context) (e *resource.Endpoint, err error) {
	a.notReady("waiting for the declaration of the endpoint")
	for {
		e, ok := a.configuration.Current().Endpoint(a.settings.Endpoint)
		wait := configurationPoll
		if ok && !e.Leaving {
			if !a.hostLeaving(ctx) {
				return e, nil
			}
			a.notReady("host is leaving")
			wait = hostListPoll
		}
		if err = a.sleep(ctx, wait); err != nil {
			return nil, err
		}
	}
}

// watchConfiguration passes changes of the Endpoint resource to the gate. A resource that is gone means leaving.
func (a *Agent) watchConfiguration() {
	var seen *resource.Set
	for a.sleep(a.work, configurationPoll) == nil {
		set := a.configuration.Current()
		if set == seen {
			continue
		}
		seen = set
		a.log.Event(timeline.Event{Kind: timeline.ConfigurationSet, Revision: set.Generation()})
		e, ok := set.Endpoint(a.settings.Endpoint)
		if !ok || e.Leaving {
			a.drain("endpoint is leaving or not declared any more")
			continue
		}
		a.post(gate.Configure{BatchSize: e.BatchSize, LoadTime: time.Duration(set.Policy().LoadTime)})
	}
}

// known looks up the resource that a try names, after fetching it if the sender's revision is newer.
func (a *Agent) known(ctx context.Context, r *wire.RunRequest) (k gate.Declaration) {
	want := ident.Revision(r.GetResourceRevision())
	k = a.lookUp(r)
	if want <= k.Revision {
		return k
	}
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	if err := a.configuration.Refresh(ctx, want); err != nil {
		a.log.WarnContext(ctx, "configuration refresh failed", errorAttr(err))
	}
	return a.lookUp(r)
}

func (a *Agent) lookUp(r *wire.RunRequest) (k gate.Declaration) {
	set := a.configuration.Current()
	e, ok := set.Endpoint(a.settings.Endpoint)
	if !ok {
		return k
	}
	if e.Kind == resource.Service {
		k.Declared = true
		k.Revision = set.ResourceRevision(resource.Name{Kind: resource.KindEndpoint, Name: string(e.Name)})
		return k
	}
	k.Revision = set.ResourceRevision(resource.Name{Kind: resource.KindAdapter, Name: r.GetAdapter()})
	ad, ok := set.Adapter(ident.Adapter(r.GetAdapter()))
	if !ok || r.GetVersion() == "" || ad.BaseModel != e.BaseModel {
		return k
	}
	v, ok := ad.Version(ident.Version(r.GetVersion()))
	k.Declared, k.Path, k.Digest = ok, v.Path, v.Digest
	return k
}

// shares are the weights of the callers in one configuration.
type shares struct {
	set    *resource.Set
	weight map[ident.Caller]float64
}

func (a *Agent) share(c ident.Caller) float64 {
	set := a.configuration.Current()
	known := a.shares.Load()
	if known == nil || known.set != set {
		known = &shares{set: set, weight: make(map[ident.Caller]float64)}
		for _, x := range set.Callers() {
			known.weight[x.Name] = x.Share
		}
		a.shares.Store(known)
	}
	if w := known.weight[c]; w > 0 {
		return w
	}
	return 1
}

// keepClaim renews the claim and tells the gate what it allows.
func (a *Agent) keepClaim() {
	err := a.claim.Keep(a.work, a.claimChanged)
	if a.work.Err() == nil {
		a.check(err)
	}
}

// claimChanged passes the status of the claim on. A claim that was taken again counts as held once the configuration is
// as new as the claim: an agent that was cut off may not know yet that its endpoint is leaving.
func (a *Agent) claimChanged(s claim.Status, i ident.Incarnation) {
	change := a.claimChanges.Add(1)
	switch s {
	case claim.Held:
		if a.held.Swap(int64(i)) == int64(i) {
			a.postClaim(change, gate.Claim{Status: gate.ClaimHeld, Incarnation: i})
			return
		}
		a.log.Event(timeline.Event{Kind: timeline.EndpointClaimed, Endpoint: a.settings.Endpoint, Incarnation: i})
		a.spawn(func() { a.resume(change, i) })
	case claim.Unsure:
		a.postClaim(change, gate.Claim{Status: gate.ClaimUncertain, Incarnation: i})
	default:
		a.postClaim(change, gate.Claim{Status: gate.ClaimLost, Incarnation: i})
	}
}

// resume reads the configuration up to the revision of the claim and then lets the gate work under it.
func (a *Agent) resume(change int64, i ident.Incarnation) {
	for {
		ctx, cancel := context.WithTimeout(a.work, refreshTimeout)
		err := a.configuration.Refresh(ctx, ident.Revision(i))
		cancel()
		if err == nil {
			break
		}
		a.log.Warn("claim is not used before the configuration is read", errorAttr(err))
		if a.sleep(a.work, configurationPoll) != nil || a.claimChanges.Load() != change {
			return
		}
	}
	if e, ok := a.configuration.Current().Endpoint(a.settings.Endpoint); !ok || e.Leaving {
		a.drain("endpoint is leaving or not declared any more")
	}
	a.postClaim(change, gate.Claim{Status: gate.ClaimHeld, Incarnation: i})
}

// postClaim drops a change that a later one has overtaken.
func (a *Agent) postClaim(change int64, c gate.Claim) {
	a.claimOrder.Lock()
	defer a.claimOrder.Unlock()
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
