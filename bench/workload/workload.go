package workload

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"shallotring.dev/state/ident"
	"shallotring.dev/state/placement"
)

// Sizes of the simulated deployment. BatchSize and Slots apply to each engine.
const (
	Engines   = 20
	Adapters  = 3000
	BatchSize = 8
	Slots     = 8
	Entries   = 4
	callers   = 10
)

// Times since the start of a run: measurement starts after the warm-up, the fault of a workload happens at FaultTime, and the last
// request arrives before End.
const (
	WarmUp    = 100 * time.Second
	FaultTime = 200 * time.Second
	End       = 400 * time.Second
)

// Times of the engine model: a step takes a fixed time, a time per sequence of the batch and the prefill time of its prompt tokens.
const (
	StepBase        = 30 * time.Millisecond
	StepPerSequence = time.Millisecond
	PrefillPerToken = 100 * time.Microsecond
	// PrefillChunkTokens is the maximum number of prompt tokens that one step processes.
	PrefillChunkTokens = 512
	// CachedPrefixes is the number of prompt prefixes that an engine caches.
	CachedPrefixes = 16
)

// Store describes the weight store. Loads take LoadTime while at most LoadsInFlight are in flight.
type Store struct {
	LoadsPerSecond float64
	LoadsInFlight  int
	LoadTime       time.Duration
	FailureRatio   float64
}

// Spec describes one workload. PromptTokens and OutputTokens are means.
type Spec struct {
	Name               string
	Weights            placement.Weights
	PopularityExponent float64
	PromptTokens       int
	// PrefixTokens is the length of the prompt prefix, which is one of SharedPrefixes texts that many requests share.
	PrefixTokens   int
	SharedPrefixes int
	OutputTokens   int
	Deadline       time.Duration
	// Night adds a pause without requests, Shift exchanges popular and rarely used adapters at FaultTime, Restart restarts a
	// quarter of the engines at FaultTime, and Flood makes one caller send ten times as many requests from FaultTime on.
	Night   bool
	Shift   bool
	Restart bool
	Flood   bool
	Store   Store
}

var healthyStore = Store{LoadsPerSecond: 4, LoadsInFlight: 8, LoadTime: 250 * time.Millisecond}

// Specs returns the workloads in the order of the design page.
func Specs() []Spec {
	lusolito := Spec{
		Name: "lusolito", Weights: placement.Weights{LoadStall: 2, BatchEfficiency: 0.5}, PopularityExponent: 1.6,
		PromptTokens: 200, OutputTokens: 60, Deadline: 15 * time.Second, Store: healthyStore,
	}
	saloum := Spec{
		Name: "saloum", Weights: placement.Weights{LoadStall: 1, BatchEfficiency: 4}, PopularityExponent: 1.35,
		PromptTokens: 2000, PrefixTokens: 1500, SharedPrefixes: 4, OutputTokens: 200,
		Deadline: time.Minute, Night: true, Store: healthyStore,
	}
	variant := func(name string, change func(*Spec)) Spec {
		s := lusolito
		s.Name = name
		change(&s)
		return s
	}
	return []Spec{
		lusolito, saloum,
		variant("shift", func(s *Spec) { s.Shift = true }),
		variant("restart", func(s *Spec) { s.Restart = true }),
		variant("slowstore", func(s *Spec) {
			s.Store = Store{LoadsPerSecond: healthyStore.LoadsPerSecond / 4, LoadsInFlight: healthyStore.LoadsInFlight,
				LoadTime: 4 * healthyStore.LoadTime, FailureRatio: 0.1}
		}),
		variant("flood", func(s *Spec) { s.Flood = true }),
	}
}

// Request is one arrival.
type Request struct {
	Number       int
	At           time.Duration
	Entry        int
	Caller       ident.Caller
	Adapter      ident.AdapterVersion
	PromptTokens int
	PrefixTokens int
	PrefixID     uint64
	OutputTokens int
	// Flood marks the additional requests of the flooding caller.
	Flood bool
}

// BatchCapacity returns the requests per second that all engines complete with full batches and cached prompt prefixes.
func (s Spec) BatchCapacity() float64 {
	stepTime := StepBase + BatchSize*StepPerSequence
	engineSeconds := float64(s.OutputTokens)*stepTime.Seconds()/BatchSize +
		float64(s.PromptTokens-s.PrefixTokens)*PrefillPerToken.Seconds()
	return Engines / engineSeconds
}

// LoadCapacity returns the requests per second at which the healthy store is fully used if each engine slot holds a different one
// of the most popular adapters.
func (s Spec) LoadCapacity() float64 {
	p := s.cumulativePopularity()
	return healthyStore.LoadsPerSecond / (1 - p[Engines*Slots-1])
}

// Capacity returns the smaller one of BatchCapacity and LoadCapacity. The load of a run is a fraction of it.
func (s Spec) Capacity() float64 { return min(s.BatchCapacity(), s.LoadCapacity()) }

// cumulativePopularity returns the cumulative probability of the adapters by rank, which follows a power law.
func (s Spec) cumulativePopularity() []float64 {
	p := make([]float64, Adapters)
	sum := 0.0
	for i := range p {
		sum += math.Pow(float64(i+1), -s.PopularityExponent)
		p[i] = sum
	}
	for i := range p {
		p[i] /= sum
	}
	return p
}

// Generate returns the requests of a run at a fraction of the capacity, in order of arrival.
func (s Spec) Generate(fraction float64, seed uint64) (list []Request) {
	rate := fraction * s.Capacity()
	list = s.arrivals(rate, rand.New(rand.NewPCG(seed, 1)), 0, "")
	if s.Flood {
		list = append(list, s.arrivals(rate*9/callers, rand.New(rand.NewPCG(seed, 2)), FaultTime, callerName(0))...)
		sort.SliceStable(list, func(i, j int) bool { return list[i].At < list[j].At })
	}
	for i := range list {
		list[i].Number = i
	}
	return list
}

func (s Spec) arrivals(rate float64, random *rand.Rand, from time.Duration, flood ident.Caller) (list []Request) {
	popularity := s.cumulativePopularity()
	for at := from; ; {
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at >= End {
			return list
		}
		r := s.newRequest(at, popularity, random)
		if flood != "" {
			r.Caller, r.Flood = flood, true
		}
		if !s.Night || !inNight(at) {
			list = append(list, r)
		}
	}
}

// inNight reports whether a time is in the night, the pause between two days in which a workload with Night has no requests.
func inNight(at time.Duration) bool { return at >= 230*time.Second && at < 260*time.Second }

func (s Spec) newRequest(at time.Duration, popularity []float64, random *rand.Rand) Request {
	r := Request{
		At: at, Entry: random.IntN(Entries), Caller: callerName(random.IntN(callers)),
		PromptTokens: s.PromptTokens/2 + random.IntN(s.PromptTokens), OutputTokens: s.OutputTokens/2 + random.IntN(s.OutputTokens),
	}
	if s.SharedPrefixes > 0 {
		r.PromptTokens, r.PrefixTokens = s.PromptTokens, s.PrefixTokens
		r.PrefixID = 1 + uint64(random.IntN(s.SharedPrefixes))
	}
	rank := sort.SearchFloat64s(popularity, random.Float64())
	if s.Shift && at >= FaultTime {
		rank = shiftedRank(rank)
	}
	r.Adapter = adapterOfRank(rank)
	return r
}

// shiftedRank exchanges the most popular adapters with rarely used ones.
func shiftedRank(rank int) int {
	const popular, rarelyUsed = 40, 2000
	switch {
	case rank < popular:
		return rank + rarelyUsed
	case rank >= rarelyUsed && rank < rarelyUsed+popular:
		return rank - rarelyUsed
	}
	return rank
}

func adapterOfRank(rank int) ident.AdapterVersion {
	return ident.AdapterVersion{Adapter: ident.Adapter(fmt.Sprintf("adapter-%04d", rank)), Version: "1"}
}

func callerName(n int) ident.Caller { return ident.Caller(fmt.Sprintf("caller-%d", n)) }
