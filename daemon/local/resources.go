package local

import (
	"context"
	"fmt"

	"github.com/coder/quartz"
	"github.com/rotisserie/eris"

	"shallotring.dev/coordination/configuration"
	"shallotring.dev/daemon/node"
	"shallotring.dev/standin/engine"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/resource"
)

// Names of the example deployment.
const (
	baseModel       ident.BaseModel = "base"
	zone            ident.Zone      = "zone-a"
	serviceEndpoint ident.Endpoint  = "custody-1"
	adapterCount                    = 24
)

func engineNames() (names []ident.Endpoint) {
	for i := range engineCount {
		names = append(names, ident.Endpoint(fmt.Sprintf("engine-%d", i+1)))
	}
	return names
}

// exampleResources lists what the example deployment declares: adapters with two versions each, engines, and the plain service
// custody, whose route POST /orders is non-repeatable. An order here is a request on this route.
func exampleResources() (list []any) {
	for i := range adapterCount {
		name := fmt.Sprintf("adapter-%02d", i+1)
		a := &resource.Adapter{Name: ident.Adapter(name), BaseModel: baseModel, Default: "v2"}
		for _, v := range []ident.Version{"v1", "v2"} {
			path := name + "/" + string(v)
			a.Versions = append(a.Versions, resource.AdapterVersion{Version: v, Path: path, Digest: engine.Digest(path)})
		}
		list = append(list, a)
	}
	for _, name := range engineNames() {
		list = append(list, &resource.Endpoint{
			Name: name, Kind: resource.Engine, BaseModel: baseModel, Host: hostOf(name), Zone: zone,
			ChecksFencing: true, Slots: engineSlots, BatchSize: engineBatchSize,
		})
	}
	policy := resource.DefaultPolicy()
	// A new deployment has no adapter loaded, and at 4 loads per second a burst of requests waits for seconds,
	// so the queues need room for it.
	policy.QueuePerEndpoint = 256
	return append(list,
		&resource.Endpoint{
			Name: serviceEndpoint, Kind: resource.Service, Service: "custody", Host: hostOf(serviceEndpoint), Zone: zone, BatchSize: engineBatchSize,
		},
		&resource.Route{Name: "custody-orders", Service: "custody", PathPrefix: "/orders", Methods: []string{"POST"}, NonRepeatable: true},
		&policy,
	)
}

func hostOf(e ident.Endpoint) ident.Host { return ident.Host("host-" + string(e)) }

// declareResources writes the example resources and the callers through the configuration editor, as an operator does.
func declareResources(ctx context.Context, keyValue node.Service, callers []resource.Caller) (err error) {
	defer func() { err = eris.Wrap(err, "declare the resources of the example deployment") }()
	store, err := keyValue.Client()
	if err != nil {
		return err
	}
	defer store.Close()
	editor := configuration.NewEditor(store, quartz.NewReal())
	list := exampleResources()
	for i := range callers {
		list = append(list, &callers[i])
	}
	for _, r := range list {
		if _, err = editor.Put(ctx, r, 0); err != nil {
			return err
		}
	}
	return nil
}
