package routing

import (
	"strings"

	"shallotring.dev/state/ident"
)

// Model is a base model that the engines of a service may hold.
type Model struct {
	Name ident.BaseModel
	// Size is that of its weights, AdapterSize that of each of its adapters; 0 if it is not stated.
	Size        ident.Megabytes
	AdapterSize ident.Megabytes
}

// Engine is the capacity of each engine of a service. An engine that is ordered to load more crashes.
type Engine struct {
	// Adapters is the number of adapter slots.
	Adapters int
	// Memory is that for the weights of base models and adapters together; 0 if it is not stated.
	Memory ident.Megabytes
	// BatchSize is the number of requests in one batch.
	BatchSize int
	// CacheTokens is the memory for running requests and cached prompt prefixes, in tokens.
	CacheTokens ident.Tokens
	// Models lists the base models; engines are ordered to load the first one.
	Models []Model
}

// Model returns the base model that engines are ordered to load; ok is false if there is none.
func (e Engine) Model() (m Model, ok bool) {
	if len(e.Models) == 0 {
		return m, false
	}
	return e.Models[0], true
}

// HoldsModel reports whether an empty engine has memory for the base model that it is ordered to load.
func (e Engine) HoldsModel() bool {
	m, ok := e.Model()
	return ok && e.holds(m.Size)
}

// AdapterSlots returns the number of adapters that an engine holds beside the base model that it is ordered to load.
func (e Engine) AdapterSlots() int {
	m, ok := e.Model()
	slots := max(e.Adapters, 0)
	switch {
	case !ok || e.Memory <= 0:
		return slots
	case !e.HoldsModel():
		return 0
	case m.AdapterSize <= 0:
		return slots
	}
	return int(min(float64(slots), float64((e.Memory-m.Size)/m.AdapterSize)))
}

// HasMemory reports whether an engine has memory for base models and adapters together. Sizes that are not stated count as 0.
func (e Engine) HasMemory(models []ident.ModelVersion, adapters ...ident.AdapterVersion) bool {
	if e.Memory <= 0 {
		return true
	}
	var sum ident.Megabytes
	for _, mv := range models {
		for _, m := range e.Models {
			if m.Name == mv.Model {
				sum += m.Size
			}
		}
	}
	for _, av := range adapters {
		sum += e.adapterSize(av.Adapter)
	}
	return e.holds(sum)
}

func (e Engine) holds(size ident.Megabytes) bool { return e.Memory <= 0 || size <= e.Memory }

// adapterSize returns the size of an adapter, whose name begins with that of its base model. An adapter of no listed model has the size of
// the largest one.
func (e Engine) adapterSize(name ident.Adapter) (size ident.Megabytes) {
	for _, m := range e.Models {
		if strings.HasPrefix(string(name), string(m.Name)+"/") {
			return m.AdapterSize
		}
		size = max(size, m.AdapterSize)
	}
	return size
}
