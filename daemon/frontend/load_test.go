package frontend

import (
	"fmt"
	"testing"
	"time"

	"shallotring.dev/platform/message"
	"shallotring.dev/protocol/control"
	"shallotring.dev/state/holdings"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/placement"
	"shallotring.dev/state/resource"
)

// TestReplicasWaitWhileStoreIsBusy guards against replicas of popular adapters that are loaded while requests for cold adapters wait for the
// weight store, as in the first seconds of a day, after a restart of all hosts or when the demand moves to other adapters.
func TestReplicasWaitWhileStoreIsBusy(t *testing.T) {
	popular := ident.AdapterVersion{Adapter: "m/popular", Version: "1"}
	for _, x := range []struct {
		name    string
		loading int
		want    bool
	}{{"weight store idle", 0, false}, {"two loads at each engine", 2, true}} {
		f := New(message.Headers{}, "edge-1", "a")
		now := time.Now()
		report := func(name string) placement.Report {
			r := placement.Report{Endpoint: ident.Endpoint(name), Kind: resource.Engine, BaseModel: "m", Service: "llm", Zone: "a", BatchSize: 64, Slots: 8}
			for i := range x.loading {
				r.Loading = append(r.Loading, ident.AdapterVersion{Adapter: ident.Adapter(fmt.Sprint("m/", name, i)), Version: "1"})
			}
			return r
		}
		q := placement.Query{BaseModel: "m", Service: "llm", Adapter: popular, PromptTokens: 3500, Zone: "a"}
		for i := range 8 {
			f.placement.Observe(now, report(fmt.Sprint("engine-", i)))
		}
		holder := report("holder")
		holder.Resident = []ident.AdapterVersion{popular}
		f.placement.Observe(now, holder)
		// Ten prompts are ahead of the request at the holder.
		for range 10 {
			f.placement.Sent(now, "holder", q)
		}
		name, ok := f.placement.Choose(now, q)
		if !ok || (name == "holder") != x.want {
			t.Errorf("%s: the request goes to %s, want the holder: %t", x.name, name, x.want)
		}
	}
}

// TestUsesAreReportedOnce guards against adapter slots that stay occupied at an engine because the report of the last use was dropped.
func TestUsesAreReportedOnce(t *testing.T) {
	x := newSourceTrial(t)
	x.observe(x.near, 1, "1", sourceAdapter)
	e := x.endpoints["i-near"]
	e.uses[sourceAdapter] = &holdings.Use{Adapter: sourceAdapter, Started: 1}
	for range maxQueuedReports {
		x.near.reports <- control.UsageReport{}
	}
	x.refreshEndpoints()
	for range maxQueuedReports {
		if r := <-x.near.reports; len(r.Uses) > 0 {
			t.Fatal("the report was queued although the queue was full")
		}
	}
	x.refreshEndpoints()
	if r := <-x.near.reports; len(r.Uses) != 1 || r.Uses[0] != (holdings.Use{Adapter: sourceAdapter, Started: 1}) {
		t.Errorf("uses %+v, want the one that could not be reported before", r.Uses)
	}
	x.refreshEndpoints()
	select {
	case r := <-x.near.reports:
		t.Errorf("uses %+v are reported twice", r.Uses)
	default:
	}
}
