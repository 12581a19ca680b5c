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

// putPolicy replaces the policy as an operator does and waits until the entry's table works by it.
func (a *account) putPolicy(p resource.Policy) {
	a.Helper()
	ctx, cancel := context.WithTimeout(a.Context(), testTimeout)
	defer cancel()
	store, err := a.service().Client()
	if err != nil {
		a.Fatal(err)
	}
	defer store.Close()
	name := resource.Name{Kind: resource.KindPolicy, Name: p.Name}
	at := a.entry.Configuration().Current().ResourceRevision(name)
	if _, err = configuration.NewEditor(store, quartz.NewReal()).Put(ctx, &p, at); err != nil {
		a.Fatal(err)
	}
	a.until("the policy in force", func() bool {
		stall := a.metric(a.AdminAddress(), "shallotring_entry_load_stall_weight")
		batch := a.metric(a.AdminAddress(), "shallotring_entry_batch_efficiency_weight")
		return stall == p.LoadStallWeight && batch == p.BatchEfficiencyWeight
	})
}

func (a *account) until(what string, done func() bool) {
	a.Helper()
	for end := time.Now().Add(testTimeout); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			a.Fatal(what, ": waited too long")
		}
	}
}

// about returns the lines of one kind about an adapter in the order of the log.
func (a *account) about(kind timeline.Kind, adapter ident.Adapter) (list []timeline.Line) {
	for text := range strings.Lines(a.log.String()) {
		l := timeline.Line{Raw: json.RawMessage(text)}
		if json.Unmarshal([]byte(text), &l) == nil && l.Message == string(kind) && l.Adapter == adapter {
			list = append(list, l)
		}
	}
	return list
}

// Guards against weights of the Policy resource that never reach the routing table, and against a load permit that goes to
// the agent that asked first although more requests wait at another one.
func TestPolicyDecides(t *testing.T) {
	a := newAccount(t)
	p := resource.DefaultPolicy()
	p.LoadStallWeight, p.BatchEfficiencyWeight = 3, 0.5
	// A changed rate starts an empty budget, so that the first permit is free only after all requests have come.
	p.LoadsPerSecond = 0.25
	a.putPolicy(p)
	const few, many ident.Adapter = "adapter-01", "adapter-04"
	var work sync.WaitGroup
	send := func(name ident.Adapter) {
		work.Go(func() {
			body := fmt.Sprintf(`{"model":%q,"prompt":"core","max_tokens":1}`, name)
			if w := a.request(depotToken, http.MethodPost, "/v1/completions", body); w.StatusCode != http.StatusOK {
				t.Errorf("%s: status %d", name, w.StatusCode)
			}
		})
	}
	send(few)
	a.until("the first request at its agent", func() bool { return len(a.about(timeline.TryAccepted, few)) > 0 })
	for range 6 {
		send(many)
	}
	a.until("the others at their agent", func() bool { return len(a.about(timeline.TryAccepted, many)) == 6 })
	early := len(a.about(timeline.TryStarted, few)) + len(a.about(timeline.TryStarted, many))
	work.Wait()
	if early > 0 || t.Failed() {
		t.Fatal("a load began before all requests had come; the test shows nothing")
	}
	first, rest := a.about(timeline.TryAccepted, few)[0], a.about(timeline.TryAccepted, many)
	for _, l := range rest {
		if l.Endpoint == first.Endpoint {
			t.Fatalf("%s and %s are at the same endpoint; choose other adapters", few, many)
		}
	}
	position := func(name ident.Adapter) int {
		return strings.Index(a.log.String(), string(a.about(timeline.TryStarted, name)[0].Raw))
	}
	if position(few) < position(many) {
		t.Error("the permit went to the one request that asked first")
	}
}
