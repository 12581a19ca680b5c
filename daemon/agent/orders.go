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

// Timeouts of calls to the engine; queryTimeout also limits cancels and requests for load permits.
const (
	unloadTimeout = 10 * time.Second
	queryTimeout  = 2 * time.Second
)

// fencingRequestID is the request id of a cancel that only gives the engine a fencing number. It matches no request, because
// the ids of tries contain a slash.
const fencingRequestID = "fence"

func requestName(id ident.TryID) string { return engine.RequestName(id) }

// invalidateIfFenced marks the claim of incarnation i as lost if err means that the endpoint has received a newer fencing number. A claim
// that was acquired since the command was sent stays as it is.
func (a *Agent) invalidateIfFenced(i ident.Incarnation, err error) {
	if errors.Is(err, engine.ErrFenced) && a.claim.Invalidate(i) {
		a.post(gate.Claim{Status: gate.ClaimLost, Incarnation: i})
	}
}

func (a *Agent) load(x gate.Load) {
	started := a.clock.Now()
	event := timeline.Event{
		Kind: timeline.LoadStarted, Endpoint: a.settings.Endpoint, Incarnation: x.Incarnation,
		Adapter: x.Adapter.Adapter, Version: x.Adapter.Version,
	}
	a.log.Event(event)
	ctx, cancel := context.WithTimeout(a.work, gate.DefaultConfig().LoadTimeout)
	defer cancel()
	digest, err := a.client.Load(ctx, x.Incarnation, x.Adapter, x.Path)
	event.Kind, event.Duration = timeline.LoadFinished, a.clock.Since(started)
	result := gate.LoadEnded{Number: x.Number, Digest: digest}
	if err != nil {
		event.Kind, event.Detail = timeline.LoadFailed, err.Error()
		result.Failed, result.NoEffect, result.Detail = true, engine.EffectOf(err) == engine.NoEffect, err.Error()
		result.Unanswered = !engine.Answered(err)
	} else if digest != x.Digest {
		event.Kind, event.Detail = timeline.LoadFailed, "the engine lists another digest than the declared one"
	}
	a.meters.loads(resultOf(event.Kind == timeline.LoadFinished)).Inc()
	a.meters.loadSeconds.Update(event.Duration.Seconds())
	a.log.Event(event)
	a.invalidateIfFenced(x.Incarnation, err)
	a.post(result)
}

func (a *Agent) unload(x gate.Unload) {
	started := a.clock.Now()
	ctx, cancel := context.WithTimeout(a.work, unloadTimeout)
	defer cancel()
	err := a.client.Unload(ctx, x.Incarnation, x.Adapter)
	event := timeline.Event{
		Kind: timeline.AdapterEvicted, Endpoint: a.settings.Endpoint, Incarnation: x.Incarnation,
		Adapter: x.Adapter.Adapter, Version: x.Adapter.Version, Duration: a.clock.Since(started),
	}
	result := gate.UnloadEnded{Number: x.Number}
	if err != nil {
		event.Detail = "the unload is not confirmed: " + err.Error()
		result.Failed, result.Detail = true, err.Error()
	}
	a.meters.evictions(resultOf(err == nil)).Inc()
	a.log.Event(event)
	a.invalidateIfFenced(x.Incarnation, err)
	a.post(result)
}

// survey lists the running requests and the loaded adapters of the engine. The requests are read first, so that no request is
// missed whose adapter is listed.
func (a *Agent) survey(x gate.Survey) {
	ctx, cancel := context.WithTimeout(a.work, queryTimeout)
	defer cancel()
	result := gate.Surveyed{Number: x.Number}
	if err := a.sendFencingNumber(ctx, x); err != nil {
		a.log.WarnContext(ctx, "survey failed: the engine did not accept the fencing number", errorAttr(err))
		result.Failed = true
		a.post(result)
		return
	}
	requests, firstStartID, err := a.client.Running(ctx)
	if err == nil {
		var models []engine.Model
		models, result.StartID, err = a.client.Models(ctx)
		for _, m := range models {
			result.Adapters = append(result.Adapters, gate.ListedAdapter{Adapter: m.Adapter, Digest: m.Digest})
		}
	}
	for _, r := range requests {
		result.Running = append(result.Running, gate.Request{ID: r.ID, Adapter: r.Adapter})
	}
	// Different start ids mean that the engine restarted between the two lists, so that they do not belong together.
	result.Failed = err != nil || firstStartID != result.StartID
	if err != nil {
		a.log.WarnContext(ctx, "survey failed: the engine did not list its requests and adapters", errorAttr(err))
	}
	a.post(result)
}

// sendFencingNumber gives the engine the fencing number by a cancel that matches no request, if the survey requires it.
func (a *Agent) sendFencingNumber(ctx context.Context, x gate.Survey) (err error) {
	if !x.Fence {
		return nil
	}
	err = a.client.Cancel(ctx, x.Incarnation, fencingRequestID)
	a.invalidateIfFenced(x.Incarnation, err)
	return err
}

func (a *Agent) cancelAtEngine(i ident.Incarnation, id string) {
	ctx, cancel := context.WithTimeout(a.work, queryTimeout)
	defer cancel()
	if err := a.client.Cancel(ctx, i, id); err != nil {
		a.log.WarnContext(ctx, "cancel at the engine failed; the request may still be running", errorAttr(err))
	}
}

func (a *Agent) requestPermits(x gate.RequestPermits) {
	now := a.clock.Now()
	ctx, cancel := context.WithTimeout(a.work, queryTimeout)
	defer cancel()
	p, err := a.permits.Take(ctx, a.settings.Endpoint, x.Wanted, x.Stalled)
	if err != nil {
		a.log.WarnContext(ctx, "no load permits: the request for permits failed", errorAttr(err))
		p.Granted = 0
	}
	a.post(gate.Permits{Granted: p.Granted, Until: now.Add(p.Expiry), Wait: p.Wait})
}
