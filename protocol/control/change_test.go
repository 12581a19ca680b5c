package control

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"shallotring.dev/state/ident"
)

func randomHoldings(r *rand.Rand, h *Holdings) *Holdings {
	x := NewHoldings([]ident.ModelVersion{{Model: "base", Version: ident.Version(fmt.Sprint(1 + r.IntN(2)))}}, slices.Clone(h.Resident), nil)
	if r.IntN(20) == 0 {
		x.Models, x.Versions = nil, nil
	}
	if n := len(x.Resident); n > 0 && r.IntN(2) == 0 {
		i := r.IntN(n)
		x.Resident = slices.Delete(x.Resident, i, i+1)
	}
	for range r.IntN(3) {
		av := ident.AdapterVersion{Adapter: ident.Adapter(fmt.Sprint("base/a", r.IntN(3000))), Version: ident.Version(fmt.Sprint(1 + r.IntN(3)))}
		if r.IntN(3) == 0 {
			x.Loading = append(x.Loading, av)
		} else if !slices.Contains(x.Resident, av) {
			x.Resident = append(x.Resident, av)
		}
	}
	return x
}

func sorted(list []ident.AdapterVersion) []string {
	names := texts(list)
	slices.Sort(names)
	return names
}

// TestStatesSurviveDeltas guards against an entry whose view of an engine differs from what the engine's agent has reported, with and
// without messages that omit what is unchanged.
func TestStatesSurviveDeltas(t *testing.T) {
	for _, deltas := range []bool{false, true} {
		r := rand.New(rand.NewPCG(1, 2))
		w, reader := &StateWriter{Deltas: deltas}, &StateReader{}
		h := &Holdings{}
		for i := range 2000 {
			if r.IntN(3) == 0 {
				h = randomHoldings(r, h)
			}
			s := State{Endpoint: ident.Endpoint(fmt.Sprint("i-", i/500)), Born: int64(i / 500), Up: true, Running: r.IntN(2), PromptRate: r.IntN(3) * r.IntN(9000), Holdings: h}
			b, err := json.Marshal(w.Message(s))
			if err != nil {
				t.Fatal(err)
			}
			var message State
			if err = json.Unmarshal(b, &message); err != nil {
				t.Fatal(err)
			}
			got, err := reader.State(message)
			if err != nil {
				t.Fatal(err)
			}
			if d := got.PromptRate - s.PromptRate; d > promptRateTolerance || d < -promptRateTolerance {
				t.Fatalf("message %d, deltas %t: prompt rate %d, want %d", i, deltas, got.PromptRate, s.PromptRate)
			}
			if got.Endpoint != s.Endpoint || got.Born != s.Born || got.Running != s.Running || got.Holdings.BaseModel() != h.BaseModel() ||
				!slices.Equal(sorted(got.Holdings.Resident), sorted(h.Resident)) || !slices.Equal(got.Holdings.Loading, h.Loading) {
				t.Fatalf("message %d, deltas %t: got %+v with %+v, want %+v with %+v", i, deltas, got, got.Holdings, s, h)
			}
		}
	}
}

// TestDeltasAreSmall guards against messages whose size grows with the number of resident adapters: an agent sends one to every entry at
// each load, and traffic between availability zones is paid for.
func TestDeltasAreSmall(t *testing.T) {
	h := &Holdings{Models: []ident.BaseModel{"base"}}
	for i := range 100 {
		h.Resident = append(h.Resident, ident.AdapterVersion{Adapter: ident.Adapter(fmt.Sprint("base/a", i)), Version: "1"})
	}
	w := &StateWriter{Deltas: true}
	w.Message(State{Endpoint: "i-1", Born: 1, Up: true, Holdings: h})
	next := &Holdings{Models: h.Models, Resident: slices.Clone(h.Resident[1:]), Loading: []ident.AdapterVersion{{Adapter: "base/a500", Version: "1"}}}
	b, err := json.Marshal(w.Message(State{Endpoint: "i-1", Born: 1, Up: true, Running: 3, Holdings: next}))
	if err != nil {
		t.Fatal(err)
	}
	if len(b) > 120 {
		t.Errorf("message of %d bytes for one change: %s", len(b), b)
	}
	if b, err = json.Marshal(w.Message(State{Endpoint: "i-1", Born: 1, Up: true, Running: 3, PromptRate: 500, Holdings: next})); err != nil || len(b) > 15 {
		t.Errorf("message of %d bytes for an unchanged state: %s", len(b), b)
	}
}

// TestFirstMessageNeedsHoldings guards against a connection on which the first message is lost or refers to an earlier one.
func TestFirstMessageNeedsHoldings(t *testing.T) {
	for _, message := range []State{{Up: true}, {Changes: &Changes{Added: []string{"base/a1@1"}}}} {
		if _, err := (&StateReader{}).State(message); err == nil {
			t.Errorf("%+v is accepted as the first message", message)
		}
	}
}
