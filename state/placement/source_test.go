package placement

import (
	"maps"
	"testing"
	"time"

	"shallotring.dev/state/ident"
)

// TestSourceHasCachedThePrefix guards against an engine that reads a long shared prompt prefix again, although another holder of the
// adapter has cached it, and against fetching it from an engine that cannot have it or has read it with other weights (incident STALE).
func TestSourceHasCachedThePrefix(t *testing.T) {
	t.Parallel()
	long := Query{BaseModel: "base", Adapter: version("popular"), Prefix: 77, PrefixTokens: 6000, PromptTokens: 9000}
	short, plain := long, long
	short.PrefixTokens = minFetchTokens - 1
	plain.Adapter = ident.AdapterVersion{}
	withWeights := func(name string, base ident.Version) Report {
		r := engine(name, 0)
		r.BaseVersion = base
		return r
	}
	holding := func(name string, base ident.Version, loading bool) Report {
		r := withWeights(name, base)
		if loading {
			r.Loading = []ident.AdapterVersion{long.Adapter}
		} else {
			r.Resident = []ident.AdapterVersion{long.Adapter}
		}
		return r
	}
	for _, c := range []struct {
		name string
		// read lists the engines that have read the prompt for this entry; holders and loading list those that have the adapter or
		// are loading it.
		read, holders, loading []string
		leaving                string
		// versions are the versions of the base model, where they are not 1; reloaded are those that engines load after they have read the
		// prompt.
		versions, reloaded map[string]ident.Version
		query              Query
		want               ident.Endpoint
	}{
		{name: "no engine has it", query: long},
		{name: "an engine that has read it", read: []string{"b"}, holders: []string{"b"}, query: long, want: "b"},
		{name: "the engine that has read it before other holders", read: []string{"c"}, holders: []string{"b", "c"}, query: long, want: "c"},
		{name: "the engine itself has read it", read: []string{"a", "b"}, holders: []string{"a", "b"}, query: long},
		{name: "a holder that other entries use", holders: []string{"b"}, query: long, want: "b"},
		{name: "the engine itself is the only holder", holders: []string{"a"}, query: long},
		{name: "still loading", loading: []string{"b"}, query: long},
		{name: "a holder that is leaving", holders: []string{"b"}, leaving: "b", query: long},
		{name: "too short", read: []string{"b"}, holders: []string{"b"}, query: short},
		{name: "no adapter", read: []string{"b"}, holders: []string{"b"}, query: plain},
		{name: "read and unloaded", read: []string{"b"}, query: long},
		{name: "other weights", read: []string{"b"}, holders: []string{"b"}, versions: map[string]ident.Version{"b": "2"}, query: long},
		{name: "unknown weights", read: []string{"b"}, holders: []string{"b"}, versions: map[string]ident.Version{"b": ""}, query: long},
		{name: "unknown weights at both", holders: []string{"b"}, versions: map[string]ident.Version{"a": "", "b": ""}, query: long},
		{name: "a holder with the same weights", read: []string{"b"}, holders: []string{"b", "c"}, versions: map[string]ident.Version{"b": "2"}, query: long, want: "c"},
		{name: "other weights since it was read", read: []string{"b"}, holders: []string{"b"}, reloaded: map[string]ident.Version{"b": "2"}, query: long},
		{name: "own prompt of other weights", read: []string{"a"}, holders: []string{"a", "b"}, versions: map[string]ident.Version{"b": "2"},
			reloaded: map[string]ident.Version{"a": "2"}, query: long, want: "b"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			table := newDirectTable()
			base := map[string]ident.Version{"a": "1", "b": "1", "c": "1"}
			maps.Copy(base, c.versions)
			for _, name := range []string{"a", "b", "c"} {
				observe(table, 10, withWeights(name, base[name]))
			}
			for _, name := range c.loading {
				observe(table, 10, holding(name, base[name], true))
			}
			for _, name := range c.holders {
				observe(table, 10, holding(name, base[name], false))
			}
			for _, name := range c.read {
				table.Sent(at(10), ident.Endpoint(name), long)
			}
			for name, v := range c.reloaded {
				observe(table, 10, holding(name, v, false))
			}
			if c.leaving != "" {
				r := holding(c.leaving, base[c.leaving], false)
				r.Leaving = true
				observe(table, 10, r)
			}
			if got, ok := table.Source(at(10).Add(time.Second), "a", c.query); got != c.want || ok != (c.want != "") {
				t.Errorf("source %q, %t, want %q", got, ok, c.want)
			}
		})
	}
}

// Guards against allocations in each decision, which would cause garbage collection pauses in a large deployment.
func TestSourceDoesNotAllocate(t *testing.T) {
	table := newDirectTable()
	q := Query{BaseModel: "base", Adapter: version("popular"), Prefix: 77, PrefixTokens: 6000, PromptTokens: 9000}
	for _, name := range []string{"a", "b"} {
		r := engine(name, 0)
		r.Resident, r.BaseVersion = []ident.AdapterVersion{q.Adapter}, "1"
		observe(table, 10, r)
	}
	if n := testing.AllocsPerRun(100, func() { table.Source(at(10), "a", q) }); n > 0 {
		t.Errorf("%v allocations", n)
	}
}
