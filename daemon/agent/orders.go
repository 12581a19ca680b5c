package agent

import (
	"context"
	"errors"
	"time"

	"shallotring.dev/protocol/engine"
	"shallotring.dev/state/gate"
	"shallotring.dev/state/ident"
	"shallotring.dev/transport/timeline"
)

// Time limits of the calls to an engine.
const (
	loadTimeout   = 30 * time.Second
	unloadTimeout = 10 * time.Second
	listTimeout   = 2 * time.Second
)

// fenceName is the request id of a cancel that only shows the engine a fencing number; ids of tries contain a slash.
const fenceName = "fence"

func (a *Agent) incarnation() ident.Incarnation { return ident.Incarnation(a.held.Load()) }

func requestName(id ident.TryID) string { return engine.RequestName(id) }

// fenced gives the claim up once the endpoint has seen a newer fencing number.
func (a *Agent) fenced(err error) {
	if errors.Is(err, engine.ErrFenced) {
		a.claim.Invalidate()
		_, i := a.claim.Status()
		a.post(gate.Claim{Status: gate.ClaimLost, Incarnation: i})
	}
}

func (a *Agent) load(x gate.Load) {
	started := a.clock.Now()
	event := timeline.Event{
		Kind: timeline.LoadStarted, Endpoint: a.settings.Endpoint, Incarnation: a.incarnation(),
		Adapter: x.Adapter.Adapter, Version: x.Adapter.Version,
	}
	a.log.Event(event)
	ctx, cancel := context.WithTimeout(a.work, loadTimeout)
	defer cancel()
	digest, err := a.client.Load(ctx, a.incarnation(), x.Adapter, x.Path)
	event.Kind, event.Duration = timeline.LoadFinished, a.clock.Since(started)
	result := gate.LoadEnded{Number: x.Number, Digest: digest}
	if err != nil {
		event.Kind, event.Detail = timeline.LoadFailed, err.Error()
		result.Failed, result.NoEffect, result.Detail = true, engine.EffectOf(err) == engine.NoEffect, err.Error()
	} else if digest != x.Digest {
		event.Kind, event.Detail = timeline.LoadFailed, "the engine lists another digest than the declared one"
	}
	a.meters.loads(resultOf(event.Kind == timeline.LoadFinished)).Inc()
	a.meters.loadTime.Update(event.Duration.Seconds())
	a.log.Event(event)
	a.fenced(err)
	a.post(result)
}

func (a *Agent) unload(x gate.Unload) {
	started := a.clock.Now()
	ctx, cancel := context.WithTimeout(a.work, unloadTimeout)
	defer cancel()
	err := a.client.Unload(ctx, a.incarnation(), x.Adapter)
	event := timeline.Event{
		Kind: timeline.AdapterEvicted, Endpoint: a.settings.Endpoint, Incarnation: a.incarnation(),
		Adapter: x.Adapter.Adapter, Version: x.Adapter.Version, Duration: a.clock.Since(started),
	}
	result := gate.UnloadEnded{Number: x.Number}
	if err != nil {
		event.Detail = "not confirmed: " + err.Error()
		result.Failed, result.Detail = true, err.Error()
	}
	a.meters.evictions(resultOf(err == nil)).Inc()
	a.log.Event(event)
	a.fenced(err)
	a.post(result)
}

// survey reads the requests before the adapters, so that a request is never missed whose adapter is listed.
func (a *Agent) survey(x gate.Survey) {
	ctx, cancel := context.WithTimeout(a.work, listTimeout)
	defer cancel()
	result := gate.Surveyed{Number: x.Number}
	if err := a.raiseFence(ctx, x); err != nil {
		a.log.WarnContext(ctx, "engine does not take the fencing number", errorAttr(err))
		result.Failed = true
		a.post(result)
		return
	}
	requests, first, err := a.client.Running(ctx)
	if err == nil {
		var models []engine.Model
		models, result.StartID, err = a.client.Models(ctx)
		for _, m := range models {
			result.Models = append(result.Models, gate.Model{Adapter: m.Adapter, Digest: m.Digest})
		}
	}
	for _, r := range requests {
		result.Running = append(result.Running, gate.Request{ID: r.ID, Adapter: r.Adapter})
	}
	result.Failed = err != nil || first != result.StartID
	if err != nil {
		a.log.WarnContext(ctx, "engine does not answer", errorAttr(err))
	}
	a.post(result)
}

// raiseFence sends a command without effect: no request has its name.
func (a *Agent) raiseFence(ctx context.Context, x gate.Survey) (err error) {
	if !x.Fence {
		return nil
	}
	err = a.client.Cancel(ctx, a.incarnation(), fenceName)
	a.fenced(err)
	return err
}

func (a *Agent) cancelAtEngine(id string) {
	ctx, cancel := context.WithTimeout(a.work, listTimeout)
	defer cancel()
	if err := a.client.Cancel(ctx, a.incarnation(), id); err != nil {
		a.log.WarnContext(ctx, "cancel failed", errorAttr(err))
	}
}

func (a *Agent) askPermits(x gate.RequestPermits) {
	now := a.clock.Now()
	ctx, cancel := context.WithTimeout(a.work, listTimeout)
	defer cancel()
	p, err := a.permits.Take(ctx, a.settings.Endpoint, x.Wanted, x.Stalled)
	if err != nil {
		a.log.WarnContext(ctx, "no load permits", errorAttr(err))
		p.Granted = 0
	}
	a.post(gate.Permits{Granted: p.Granted, Until: now.Add(p.Expiry), Wait: p.Wait})
}
