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

// resources lists what the example deployment declares: adapters with two versions each, engines, and the service
// custody, whose pull orders are non-repeatable.
func resources() (list []any) {
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
			ChecksFencing: true, Slots: engineSlots, BatchSize: engineBatch,
		})
	}
	policy := resource.DefaultPolicy()
	// A fresh deployment has nothing loaded, and 4 loads a second let a burst of requests wait for seconds.
	policy.QueuePerEndpoint = 256
	return append(list,
		&resource.Endpoint{
			Name: serviceEndpoint, Kind: resource.Service, Service: "custody", Host: hostOf(serviceEndpoint), Zone: zone, BatchSize: engineBatch,
		},
		&resource.Route{Name: "custody-orders", Service: "custody", PathPrefix: "/orders", Methods: []string{"POST"}, NonRepeatable: true},
		&policy,
	)
}

func hostOf(e ident.Endpoint) ident.Host { return ident.Host("host-" + string(e)) }

// declare writes the resources as an operator does.
func declare(ctx context.Context, service node.Service, callers []resource.Caller) (err error) {
	defer func() { err = eris.Wrap(err, "declare the example deployment") }()
	store, err := service.Client()
	if err != nil {
		return err
	}
	defer store.Close()
	editor := configuration.NewEditor(store, quartz.NewReal())
	list := resources()
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
