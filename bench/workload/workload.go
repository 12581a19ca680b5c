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

// Sizes of the simulated deployment.
const (
	Engines   = 20
	Adapters  = 3000
	BatchSize = 8
	Slots     = 8
	Entries   = 4
	callers   = 10
)

// Times of a run: measurement starts after the warm-up; the fault of a workload happens at Event.
const (
	WarmUp = 100 * time.Second
	Event  = 200 * time.Second
	End    = 400 * time.Second
)

// Times of the engine model: a step costs a fixed part, a part per sequence and the prefill of new prompt tokens.
const (
	StepBase     = 30 * time.Millisecond
	StepPerItem  = time.Millisecond
	PrefillToken = 100 * time.Microsecond
	// PrefillChunk is the number of prompt tokens that one step takes in.
	PrefillChunk = 512
	// CachedPrefixes is the number of prompt beginnings that an engine's cache holds.
	CachedPrefixes = 16
)

// Store describes the weight store.
type Store struct {
	PerSecond float64
	InFlight  int
	LoadTime  time.Duration
	Failures  float64
}

// Spec describes one workload.
type Spec struct {
	Name     string
	Weights  placement.Weights
	Exponent float64
	Prompt   int
	// Prefix is the part of the prompt that is shared, by one of Manuals texts.
	Prefix   int
	Manuals  int
	Output   int
	Deadline time.Duration
	Night    bool
	Shift    bool
	Restart  bool
	Flood    bool
	Store    Store
}

var store = Store{PerSecond: 4, InFlight: 8, LoadTime: 250 * time.Millisecond}

// Specs returns the workloads of the design page in its order.
func Specs() []Spec {
	lusolito := Spec{
		Name: "lusolito", Weights: placement.Weights{LoadStall: 2, BatchEfficiency: 0.5}, Exponent: 1.6,
		Prompt: 200, Output: 60, Deadline: 15 * time.Second, Store: store,
	}
	saloum := Spec{
		Name: "saloum", Weights: placement.Weights{LoadStall: 1, BatchEfficiency: 4}, Exponent: 1.35,
		Prompt: 2000, Prefix: 1500, Manuals: 4, Output: 200, Deadline: time.Minute, Night: true, Store: store,
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
			s.Store = Store{PerSecond: store.PerSecond / 4, InFlight: store.InFlight, LoadTime: 4 * store.LoadTime, Failures: 0.1}
		}),
		variant("flood", func(s *Spec) { s.Flood = true }),
	}
}

// Request is one arrival.
type Request struct {
	Number  int
	At      time.Duration
	Entry   int
	Caller  ident.Caller
	Adapter ident.AdapterVersion
	Prompt  int
	Prefix  int
	Manual  uint64
	Output  int
	// Flood marks the surplus of the flooding caller.
	Flood bool
}

// BatchCapacity returns the requests per second that all engines complete with full batches and cached beginnings.
func (s Spec) BatchCapacity() float64 {
	step := StepBase + BatchSize*StepPerItem
	each := float64(s.Output)*step.Seconds()/BatchSize + float64(s.Prompt-s.Prefix)*PrefillToken.Seconds()
	return Engines / each
}

// LoadCapacity returns the requests per second at which the healthy store is fully used if each engine slot holds another one
// of the most popular adapters.
func (s Spec) LoadCapacity() float64 {
	p := s.popularity()
	return store.PerSecond / (1 - p[Engines*Slots-1])
}

// Capacity returns the smaller one of the two; the load of a run is a fraction of it.
func (s Spec) Capacity() float64 { return min(s.BatchCapacity(), s.LoadCapacity()) }

// popularity returns the cumulative probability of the adapters by rank.
func (s Spec) popularity() []float64 {
	p := make([]float64, Adapters)
	sum := 0.0
	for i := range p {
		sum += math.Pow(float64(i+1), -s.Exponent)
		p[i] = sum
	}
	for i := range p {
		p[i] /= sum
	}
	return p
}

// Generate returns the arrivals at a fraction of the capacity in order of time.
func (s Spec) Generate(fraction float64, seed uint64) (list []Request) {
	rate := fraction * s.Capacity()
	list = s.arrivals(rate, rand.New(rand.NewPCG(seed, 1)), 0, "")
	if s.Flood {
		list = append(list, s.arrivals(rate*9/callers, rand.New(rand.NewPCG(seed, 2)), Event, callerName(0))...)
		sort.SliceStable(list, func(i, j int) bool { return list[i].At < list[j].At })
	}
	for i := range list {
		list[i].Number = i
	}
	return list
}

func (s Spec) arrivals(rate float64, random *rand.Rand, from time.Duration, flood ident.Caller) (list []Request) {
	p := s.popularity()
	for at := from; ; {
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at >= End {
			return list
		}
		r := s.request(at, p, random)
		if flood != "" {
			r.Caller, r.Flood = flood, true
		}
		if !s.Night || !night(at) {
			list = append(list, r)
		}
	}
}

// night is the time without work between two days.
func night(at time.Duration) bool { return at >= 230*time.Second && at < 260*time.Second }

func (s Spec) request(at time.Duration, p []float64, random *rand.Rand) Request {
	r := Request{
		At: at, Entry: random.IntN(Entries), Caller: callerName(random.IntN(callers)), Prompt: s.Prompt/2 + random.IntN(s.Prompt),
		Output: s.Output/2 + random.IntN(s.Output),
	}
	if s.Manuals > 0 {
		r.Prompt, r.Prefix = s.Prompt, s.Prefix
		r.Manual = 1 + uint64(random.IntN(s.Manuals))
	}
	rank := sort.SearchFloat64s(p, random.Float64())
	if s.Shift && at >= Event {
		rank = shifted(rank)
	}
	r.Adapter = name(rank)
	return r
}

// shifted exchanges the head with cold adapters.
func shifted(rank int) int {
	const head, cold = 40, 2000
	switch {
	case rank < head:
		return rank + cold
	case rank >= cold && rank < cold+head:
		return rank - cold
	}
	return rank
}

func name(rank int) ident.AdapterVersion {
	return ident.AdapterVersion{Adapter: ident.Adapter(fmt.Sprintf("adapter-%04d", rank)), Version: "1"}
}

func callerName(n int) ident.Caller { return ident.Caller(fmt.Sprintf("caller-%d", n)) }
