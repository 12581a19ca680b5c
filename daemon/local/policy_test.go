package local

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/coder/quartz"

	"shallotring.dev/coordination/configuration"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/resource"
	"shallotring.dev/transport/timeline"
)

// putPolicy replaces the policy as an operator does and waits until the entry's placement table uses its weights.
func (a *authDeployment) putPolicy(p resource.Policy) {
	a.Helper()
	ctx, cancel := context.WithTimeout(a.Context(), testTimeout)
	defer cancel()
	store, err := a.keyValueService().Client()
	if err != nil {
		a.Fatal(err)
	}
	defer store.Close()
	name := resource.Name{Kind: resource.KindPolicy, Name: p.Name}
	at := a.entry.Configuration().Current().ResourceRevision(name)
	if _, err = configuration.NewEditor(store, quartz.NewReal()).Put(ctx, &p, at); err != nil {
		a.Fatal(err)
	}
	a.waitFor("policy in force", func() bool {
		stall := a.metric(a.AdminAddress(), "shallotring_entry_load_stall_weight")
		batch := a.metric(a.AdminAddress(), "shallotring_entry_batch_efficiency_weight")
		return stall == p.LoadStallWeight && batch == p.BatchEfficiencyWeight
	})
}

func (a *authDeployment) waitFor(what string, done func() bool) {
	a.Helper()
	for end := time.Now().Add(testTimeout); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			a.Fatal(what, ": not reached within the test timeout")
		}
	}
}

// adapterLines returns the log lines of one kind about an adapter, in the order of the log.
func (a *authDeployment) adapterLines(kind timeline.Kind, adapter ident.Adapter) (list []timeline.Line) {
	for text := range strings.Lines(a.log.String()) {
		l := timeline.Line{Raw: json.RawMessage(text)}
		if json.Unmarshal([]byte(text), &l) == nil && l.Message == string(kind) && l.Adapter == adapter {
			list = append(list, l)
		}
	}
	return list
}

// TestPolicyWeightsAndPermitPriority guards against weights of the Policy resource that never reach the placement table, and
// against a load permit that is granted to the agent that requested one first although more requests wait at another agent.
func TestPolicyWeightsAndPermitPriority(t *testing.T) {
	a := newAuthDeployment(t)
	p := resource.DefaultPolicy()
	p.LoadStallWeight, p.BatchEfficiencyWeight = 3, 0.5
	// A change of LoadsPerSecond starts an empty budget, so that the first permit is available only after all requests have been
	// accepted.
	p.LoadsPerSecond = 0.25
	a.putPolicy(p)
	const singleAdapter, popularAdapter ident.Adapter = "adapter-01", "adapter-04"
	var requests sync.WaitGroup
	send := func(name ident.Adapter) {
		requests.Go(func() {
			body := fmt.Sprintf(`{"model":%q,"prompt":"core","max_tokens":1}`, name)
			if w := a.request(depotToken, http.MethodPost, "/v1/completions", body); w.StatusCode != http.StatusOK {
				t.Errorf("%s: status %d", name, w.StatusCode)
			}
		})
	}
	send(singleAdapter)
	a.waitFor("first request accepted by its agent", func() bool { return len(a.adapterLines(timeline.TryAccepted, singleAdapter)) > 0 })
	for range 6 {
		send(popularAdapter)
	}
	a.waitFor("other requests accepted by their agent", func() bool { return len(a.adapterLines(timeline.TryAccepted, popularAdapter)) == 6 })
	startedEarly := len(a.adapterLines(timeline.TryStarted, singleAdapter)) + len(a.adapterLines(timeline.TryStarted, popularAdapter))
	requests.Wait()
	if startedEarly > 0 || t.Failed() {
		t.Fatal("a try started before all requests were accepted; the order of the permits cannot be checked")
	}
	first, rest := a.adapterLines(timeline.TryAccepted, singleAdapter)[0], a.adapterLines(timeline.TryAccepted, popularAdapter)
	for _, l := range rest {
		if l.Endpoint == first.Endpoint {
			t.Fatalf("%s and %s were placed at the same endpoint; choose other adapters", singleAdapter, popularAdapter)
		}
	}
	position := func(name ident.Adapter) int {
		return strings.Index(a.log.String(), string(a.adapterLines(timeline.TryStarted, name)[0].Raw))
	}
	if position(singleAdapter) < position(popularAdapter) {
		t.Error("the first permit went to the agent with one waiting request, which requested it first")
	}
}
