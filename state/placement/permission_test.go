package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"shallotring.dev/state/ident"
	"shallotring.dev/state/resource"
)

// TestRequestsStayInTheirService guards against a request that runs, loads an adapter or fetches a prompt at an engine of another service, because
// both services have the base model or the adapter: over random services, engines, holdings, leavings and requests.
func TestRequestsStayInTheirService(t *testing.T) {
	found := make(map[string]int)
	for seed := range uint64(50) {
		r := rand.New(rand.NewPCG(seed, 1))
		table := New(WithRandom(rand.New(rand.NewPCG(seed, 2))), WithZoneCost(time.Millisecond), WithTerms(DirectTerms))
		now := time.Now()
		services := []ident.Service{"chat", "report", "plain"}
		of := make(map[ident.Endpoint]ident.Service)
		adapter := func() ident.AdapterVersion {
			return ident.AdapterVersion{Adapter: ident.Adapter(fmt.Sprint("m/a", r.IntN(6))), Version: "1"}
		}
		observe := func(name ident.Endpoint) {
			x := Report{Endpoint: name, Service: of[name], Kind: resource.Engine, BaseModel: "m", BaseVersion: "1", Zone: ident.Zone(fmt.Sprint(r.IntN(2))), BatchSize: 8,
				Slots: 4, Leaving: r.IntN(5) == 0, Fixed: r.IntN(5) == 0, Running: r.IntN(12)}
			for range r.IntN(4) {
				x.Resident = append(x.Resident, adapter())
			}
			if of[name] == "plain" {
				x = Report{Endpoint: name, Service: "plain", Kind: resource.Service, BatchSize: 8}
			}
			table.Observe(now, x)
		}
		for i := range 9 {
			name := ident.Endpoint(fmt.Sprint("i-", i))
			of[name] = services[i%3]
			observe(name)
		}
		for i := range 400 {
			now = now.Add(time.Duration(r.IntN(50)) * time.Millisecond)
			observe(ident.Endpoint(fmt.Sprint("i-", r.IntN(9))))
			q := Query{Service: services[r.IntN(3)], Zone: "0", Bytes: 20 << 10, PromptTokens: 4000, Prefix: uint64(1 + r.IntN(3)), PrefixTokens: 3000}
			if q.Service != "plain" {
				if q.BaseModel = "m"; r.IntN(3) > 0 {
					q.Adapter = adapter()
				}
			}
			check := func(what string, name ident.Endpoint, ok bool) {
				if !ok {
					return
				}
				if found[what]++; of[name] != q.Service {
					t.Fatalf("seed %d, request %d: %s of service %s at %s of service %s", seed, i, what, q.Service, name, of[name])
				}
				if !table.Serves(name, q) {
					t.Fatalf("seed %d, request %d: %s of service %s at %s, which does not serve it", seed, i, what, q.Service, name)
				}
			}
			name, ok := table.Choose(now, q)
			check("request", name, ok)
			if !ok {
				continue
			}
			source, ok := table.Source(now, name, q)
			check("prompt", source, ok)
			table.Sent(now, name, q)
			prefetched, ok := table.Prefetch(now, q)
			check("load", prefetched, ok)
		}
	}
	t.Logf("choices: %v", found)
	for what, least := range map[string]int{"request": 10_000, "prompt": 100, "load": 100} {
		if found[what] < least {
			t.Errorf("%d choices of a %s were examined, %d are needed", found[what], what, least)
		}
	}
}
