package report

import (
	"runtime"
	"sync"

	"shallotring.dev/bench/fleet"
	"shallotring.dev/bench/policy"
	"shallotring.dev/bench/workload"
	"shallotring.dev/state/placement"
)

// Names of the policies.
const (
	Shallotring = "shallotring"
	Clairvoyant = "clairvoyant"
)

// LoadFractions are the request rates of the runs, as fractions of the capacity of a workload.
var LoadFractions = []float64{0.5, 0.8, 0.95, 1.2}

// FixedLoad is the element of LoadFractions that the result lines, the ablation and most targets use.
const FixedLoad = 0.8

// seed is fixed so that every run prints the same output.
const seed = 7

// Policy is a named constructor of a policy; each run needs a new one.
type Policy struct {
	Name string
	New  func() fleet.Policy
}

// Policies returns the compared policies, the baselines first.
func Policies() []Policy {
	return []Policy{
		{"random-lru", func() fleet.Policy { return &policy.Baseline{Rule: policy.Random, Seed: seed} }},
		{"least-lru", func() fleet.Policy { return &policy.Baseline{Rule: policy.LeastOutstanding, Seed: seed} }},
		{"rendezvous-lru", func() fleet.Policy { return &policy.Baseline{Rule: policy.BoundedRendezvous, Seed: seed} }},
		{Clairvoyant, func() fleet.Policy { return &policy.Clairvoyant{Baseline: policy.Baseline{Seed: seed}} }},
		{Shallotring, func() fleet.Policy { return &policy.Shallotring{Seed: seed, Terms: placement.AllTerms} }},
	}
}

func baselines() []string { return []string{"random-lru", "least-lru", "rendezvous-lru"} }

// Ablations returns the project's policy and its variants without one part each.
func Ablations() []Policy {
	without := func(name string, term placement.Terms) Policy {
		return Policy{name, func() fleet.Policy { return &policy.Shallotring{Seed: seed, Terms: placement.AllTerms &^ term} }}
	}
	plain := func(name string, change func(*policy.Shallotring)) Policy {
		return Policy{name, func() fleet.Policy {
			o := &policy.Shallotring{Seed: seed, Terms: placement.AllTerms}
			change(o)
			return o
		}}
	}
	return []Policy{
		{Shallotring, func() fleet.Policy { return &policy.Shallotring{Seed: seed, Terms: placement.AllTerms} }},
		without("no stall term", placement.StallTerm),
		without("no queue term", placement.QueueTerm),
		without("no batch term", placement.BatchTerm),
		without("no prefix term", placement.PrefixTerm),
		without("no correction by own sends", placement.CorrectionTerm),
		without("no wanted replicas", placement.ReplicaTerm),
		without("no preferred endpoint", placement.AffinityTerm),
		plain("eviction by last use", func(o *policy.Shallotring) { o.PlainEviction = true }),
		plain("loads in order of request", func(o *policy.Shallotring) { o.PlainLoadOrder = true }),
		plain("queue in order of arrival", func(o *policy.Shallotring) { o.PlainAdmission = true }),
	}
}

// Key identifies one run.
type Key struct {
	Workload string
	Policy   string
	Load     float64
}

// Runs maps runs to their results.
type Runs map[Key]*fleet.Result

// Matrix runs each workload at each request rate (see LoadFractions) under each policy.
func Matrix(specs []workload.Spec, loads []float64, policies []Policy) Runs {
	runs := make(Runs)
	var lock sync.Mutex
	var group sync.WaitGroup
	semaphore := make(chan struct{}, max(runtime.GOMAXPROCS(0)/2, 1))
	for _, s := range specs {
		for _, load := range loads {
			requests := s.Generate(load, seed)
			for _, p := range policies {
				group.Go(func() {
					semaphore <- struct{}{}
					defer func() { <-semaphore }()
					r := fleet.Run(s, requests, p.New(), seed)
					lock.Lock()
					defer lock.Unlock()
					runs[Key{s.Name, p.Name, load}] = r
				})
			}
		}
	}
	group.Wait()
	return runs
}
