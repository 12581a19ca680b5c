package placement

import (
	"testing"
	"time"

	"shallotring.dev/state/ident"
)

// TestCopiesTakeReadPromptsFromEachOther answers a hot adapter with a long shared manual: each further engine that gets a copy must not
// read the manual again, nor ask one that cannot have it.
func TestCopiesTakeReadPromptsFromEachOther(t *testing.T) {
	t.Parallel()
	long := Query{BaseModel: "base", Adapter: version("hot"), Prefix: 77, PrefixTokens: 6000, PromptTokens: 9000}
	short, plain := long, long
	short.PrefixTokens = leastFetch - 1
	plain.Adapter = ident.AdapterVersion{}
	holding := func(name string, loading bool) Report {
		r := engine(name, 0)
		if loading {
			r.Loading = []ident.AdapterVersion{long.Adapter}
		} else {
			r.Resident = []ident.AdapterVersion{long.Adapter}
		}
		return r
	}
	for _, c := range []struct {
		name string
		// read lists who has read the prompt through this entry; holders and loading who has the adapter.
		read, holders, loading []string
		leaving                string
		query                  Query
		want                   ident.Endpoint
	}{
		{name: "nobody has it", query: long},
		{name: "a reader", read: []string{"b"}, holders: []string{"b"}, query: long, want: "b"},
		{name: "the reader before other holders", read: []string{"c"}, holders: []string{"b", "c"}, query: long, want: "c"},
		{name: "its own", read: []string{"a", "b"}, holders: []string{"a", "b"}, query: long},
		{name: "a holder that other entries use", holders: []string{"b"}, query: long, want: "b"},
		{name: "not itself", holders: []string{"a"}, query: long},
		{name: "still loading", loading: []string{"b"}, query: long},
		{name: "a holder that leaves", holders: []string{"b"}, leaving: "b", query: long},
		{name: "too short", read: []string{"b"}, holders: []string{"b"}, query: short},
		{name: "no adapter", read: []string{"b"}, holders: []string{"b"}, query: plain},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			table := direct()
			for _, name := range []string{"a", "b", "c"} {
				observe(table, 10, engine(name, 0))
			}
			for _, name := range c.loading {
				observe(table, 10, holding(name, true))
			}
			for _, name := range c.holders {
				observe(table, 10, holding(name, false))
			}
			for _, name := range c.read {
				table.Sent(at(10), ident.Endpoint(name), long)
			}
			if c.leaving != "" {
				r := holding(c.leaving, false)
				r.Leaving = true
				observe(table, 10, r)
			}
			if got, ok := table.Source(at(10).Add(time.Second), "a", c.query); got != c.want || ok != (c.want != "") {
				t.Errorf("source %q, %t, want %q", got, ok, c.want)
			}
		})
	}
}

// Guards against the decision growing with allocations at the size of the target.
func TestSourceAllocatesNothing(t *testing.T) {
	table := direct()
	q := Query{BaseModel: "base", Adapter: version("hot"), Prefix: 77, PrefixTokens: 6000, PromptTokens: 9000}
	for _, name := range []string{"a", "b"} {
		r := engine(name, 0)
		r.Resident = []ident.AdapterVersion{q.Adapter}
		observe(table, 10, r)
	}
	if n := testing.AllocsPerRun(100, func() { table.Source(at(10), "a", q) }); n > 0 {
		t.Errorf("%v allocations", n)
	}
}
