package frontend

import (
	"fmt"

	"shallotring.dev/state/ident"
	"shallotring.dev/state/outcome"
	"shallotring.dev/state/routing"
)

// engineCapacity returns what each engine of a service can hold; ok is false if the configuration does not tell.
func (f *Frontend) engineCapacity(s ident.Service) (c routing.Engine, ok bool) {
	t := f.routes.Load()
	if t == nil || t.Services[s].Engine == nil {
		return c, false
	}
	return *t.Services[s].Engine, true
}

// loadsAdapters reports whether the engines of a service can hold an adapter.
func (f *Frontend) loadsAdapters(s ident.Service) bool {
	c, ok := f.engineCapacity(s)
	return !ok || c.AdapterSlots() > 0
}

// capacityRefusal returns the refusal of a request that no engine of its service can hold the model or the adapter for, nil if engines can.
func (f *Frontend) capacityRefusal(x *request) *outcome.Refusal {
	c, ok := f.engineCapacity(x.service)
	if !ok || len(c.Models) == 0 || x.call.Model == "" {
		return nil
	}
	if !c.HoldsModel() {
		return &outcome.Refusal{Reason: outcome.LoadFailed, Detail: fmt.Sprintf("the engines of service %s have no memory for model %s", x.service, c.Models[0].Name)}
	}
	if x.adapter.IsZero() || c.AdapterSlots() > 0 {
		return nil
	}
	return &outcome.Refusal{Reason: outcome.LoadFailed, Detail: fmt.Sprintf("the engines of service %s hold no adapter beside model %s", x.service, c.Models[0].Name)}
}
