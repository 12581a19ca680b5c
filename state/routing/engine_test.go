package routing

import (
	"math"
	"testing"

	"shallotring.dev/state/ident"
)

// TestAdapterSlots guards against engines that are ordered to hold more than their memory, and against a size that is not stated, or is out
// of range, being taken for one that leaves no room.
func TestAdapterSlots(t *testing.T) {
	for _, c := range []struct {
		name        string
		engine      Engine
		want        int
		holdsModel  bool
		modelMemory bool
	}{
		{"no model", Engine{Adapters: 9, Memory: 10}, 9, false, true},
		{"no sizes", Engine{Adapters: 9, Models: []Model{{Name: "m"}}}, 9, true, true},
		{"memory only", Engine{Adapters: 9, Memory: 10, Models: []Model{{Name: "m"}}}, 9, true, true},
		{"sizes without memory", Engine{Adapters: 9, Models: []Model{{Name: "m", Size: 100, AdapterSize: 50}}}, 9, true, true},
		{"slots bind", Engine{Adapters: 7, Memory: 66_500, Models: []Model{{Name: "m", Size: 65_099.99999999999, AdapterSize: 12}}}, 7, true, true},
		{"memory binds", Engine{Adapters: 9, Memory: 66_500, Models: []Model{{Name: "m", Size: 65_100, AdapterSize: 400}}}, 3, true, true},
		{"exact", Engine{Adapters: 9, Memory: 66_300, Models: []Model{{Name: "m", Size: 65_100, AdapterSize: 400}}}, 3, true, true},
		{"model only", Engine{Adapters: 9, Memory: 65_200, Models: []Model{{Name: "m", Size: 65_100, AdapterSize: 400}}}, 0, true, true},
		{"model too large", Engine{Adapters: 9, Memory: 65_000, Models: []Model{{Name: "m", Size: 65_100, AdapterSize: 1}}}, 0, false, false},
		{"tiny adapters", Engine{Adapters: 9, Memory: 10, Models: []Model{{Name: "m", Size: 1, AdapterSize: math.SmallestNonzeroFloat64}}}, 9, true, true},
		{"huge memory", Engine{Adapters: 9, Memory: math.MaxFloat64, Models: []Model{{Name: "m", Size: 1, AdapterSize: 1}}}, 9, true, true},
		{"huge adapters", Engine{Adapters: 9, Memory: 10, Models: []Model{{Name: "m", Size: 1, AdapterSize: math.MaxFloat64}}}, 0, true, true},
		{"negative slots", Engine{Adapters: -1, Memory: 10, Models: []Model{{Name: "m", Size: 1, AdapterSize: 1}}}, 0, true, true},
	} {
		if got := c.engine.AdapterSlots(); got != c.want {
			t.Errorf("%s: %d adapter slots, want %d", c.name, got, c.want)
		}
		if got := c.engine.HoldsModel(); got != c.holdsModel {
			t.Errorf("%s: holds the model: %t", c.name, got)
		}
		if got := c.engine.HasMemory([]ident.ModelVersion{{Model: "m", Version: "1"}}); got != c.modelMemory {
			t.Errorf("%s: has memory for the model: %t", c.name, got)
		}
	}
}

// TestHasMemoryForAllThatIsHeld guards against sizes that are left out of the sum: other base models, and adapters of other models.
func TestHasMemoryForAllThatIsHeld(t *testing.T) {
	e := Engine{Adapters: 9, Memory: 100, Models: []Model{{Name: "m", Size: 50, AdapterSize: 10}, {Name: "n", Size: 20, AdapterSize: 25}}}
	m, n := ident.ModelVersion{Model: "m", Version: "1"}, ident.ModelVersion{Model: "n", Version: "1"}
	adapter := func(name ident.Adapter) ident.AdapterVersion {
		return ident.AdapterVersion{Adapter: name, Version: "1"}
	}
	for _, c := range []struct {
		models   []ident.ModelVersion
		adapters []ident.AdapterVersion
		want     bool
	}{
		{[]ident.ModelVersion{m}, []ident.AdapterVersion{adapter("m/1"), adapter("m/2"), adapter("m/3"), adapter("m/4"), adapter("m/5")}, true},
		{[]ident.ModelVersion{m}, []ident.AdapterVersion{adapter("m/1"), adapter("m/2"), adapter("m/3"), adapter("n/4")}, false},
		{[]ident.ModelVersion{m}, []ident.AdapterVersion{adapter("n/1"), adapter("n/2")}, true},
		{[]ident.ModelVersion{m, n}, []ident.AdapterVersion{adapter("n/1")}, true},
		{[]ident.ModelVersion{m, n}, []ident.AdapterVersion{adapter("m/1"), adapter("n/1")}, false},
		{[]ident.ModelVersion{m}, []ident.AdapterVersion{adapter("other/1"), adapter("other/2")}, true},
		{[]ident.ModelVersion{m}, []ident.AdapterVersion{adapter("other/1"), adapter("other/2"), adapter("m/1")}, false},
	} {
		if got := e.HasMemory(c.models, c.adapters...); got != c.want {
			t.Errorf("%v with %v: %t", c.models, c.adapters, got)
		}
	}
}
