package placement

import (
	"fmt"
	"testing"
	"time"

	"shallotring.dev/state/ident"
)

// direct returns a table as entries use it that send straight to engines.
func direct(options ...Option) *Table {
	return New(append([]Option{
		WithTerms(DirectTerms), WithPrefill(26 * time.Microsecond), WithStep(5 * time.Millisecond), WithAffinity(120 * time.Millisecond),
		WithDisplaced(1), WithSamples(8), WithLoadTime(250 * time.Millisecond), WithLoadBudget(32, 8), WithZoneCharge(2 * time.Millisecond),
	}, options...)...)
}

// wide is an engine whose batch is larger than any load here.
func wide(name string, running int) Report {
	r := engine(name, running)
	r.BatchSize = 64
	return r
}

// chosen counts the choices of a query.
func chosen(t *Table, q Query, n int) map[ident.Endpoint]int {
	counts := make(map[ident.Endpoint]int)
	for range n {
		name, _ := t.Choose(at(10), q)
		counts[name]++
	}
	return counts
}

// TestBurstOnOneAdapterSpreads answers a burst on one adapter: its engine must not collect unread prompts while others are idle.
func TestBurstOnOneAdapterSpreads(t *testing.T) {
	table := direct()
	for i := range 4 {
		r := engine(fmt.Sprint("engine-", i), 0)
		r.Slots = 8
		if i == 0 {
			r.Resident = []ident.AdapterVersion{version("hot")}
		}
		observe(table, 10, r)
	}
	q := query("hot")
	q.PromptTokens = 9000
	counts := make(map[ident.Endpoint]int)
	for range 24 {
		name, _ := table.Choose(at(10), q)
		table.Sent(at(10), name, q)
		counts[name]++
	}
	for i := range 4 {
		if n := counts[ident.Endpoint(fmt.Sprint("engine-", i))]; n < 3 || n > 12 {
			t.Errorf("engine-%d got %d of 24 prompts: %v", i, n, counts)
		}
	}
}

// TestChatsAvoidReadingEngines answers long reports beside chats: an engine that reads prompts all the time gives a token each 50 ms,
// and a long answer there runs into its deadline.
func TestChatsAvoidReadingEngines(t *testing.T) {
	table := direct()
	reading, calm := wide("reading", 5), wide("calm", 8)
	reading.Resident = []ident.AdapterVersion{version("a")}
	calm.Resident = reading.Resident
	reading.PromptRate = 34_000
	observe(table, 10, reading)
	observe(table, 10, calm)
	chat := query("a")
	chat.PromptTokens, chat.OutputTokens = 700, 300
	if counts := chosen(table, chat, 20); counts["calm"] != 20 {
		t.Errorf("chats went to %v, want all at the calm engine", counts)
	}
}

// TestLongPromptsAvoidStreams answers the same load from the other side: a long prompt holds up all streams of its engine.
func TestLongPromptsAvoidStreams(t *testing.T) {
	table := direct()
	streaming, reading := wide("streaming", 20), wide("reading", 2)
	streaming.Resident = []ident.AdapterVersion{version("a")}
	reading.Resident, reading.PromptRate = streaming.Resident, 10_000
	observe(table, 10, streaming)
	observe(table, 10, reading)
	report := query("a")
	report.PromptTokens, report.OutputTokens = 20_000, 40
	if counts := chosen(table, report, 20); counts["reading"] != 20 {
		t.Errorf("long prompts went to %v, want all at the engine without streams", counts)
	}
}

// TestFormerHolderFirst answers a tail of adapters that does not fit: an engine that held one lately loads it in a tenth of the
// time and without the weight store.
func TestFormerHolderFirst(t *testing.T) {
	table := direct()
	for i := range 6 {
		r := engine(fmt.Sprint("engine-", i), 0)
		r.Slots = 8
		if i == 3 {
			r.Resident = []ident.AdapterVersion{version("tail")}
		}
		observe(table, 5, r)
	}
	r := engine("engine-3", 0)
	r.Slots = 8
	observe(table, 9, r)
	if counts := chosen(table, query("tail"), 20); counts["engine-3"] != 20 {
		t.Errorf("the adapter went to %v, want the engine that held it", counts)
	}
	table.Remove("engine-3")
	if counts := chosen(table, query("tail"), 20); counts["engine-3"] != 0 {
		t.Errorf("the adapter went to a removed engine: %v", counts)
	}
}

// TestCopiesYieldWhenPlacesRunOut answers a load with more adapters in use than places: another copy of one takes the place that
// another one waits for.
func TestCopiesYieldWhenPlacesRunOut(t *testing.T) {
	for _, x := range []struct {
		pinned int
		want   ident.Endpoint
	}{{0, "idle"}, {7, "holder"}} {
		table := direct()
		holder, idle := engine("holder", 0), engine("idle", 0)
		holder.Slots, idle.Slots = 8, 8
		holder.Pinned, idle.Pinned = x.pinned, x.pinned
		holder.Resident, holder.Starting = []ident.AdapterVersion{version("a")}, 8
		observe(table, 10, holder)
		observe(table, 10, idle)
		table.prompt = 3500
		q := query("a")
		q.PromptTokens = 3500
		if counts := chosen(table, q, 20); counts[x.want] != 20 {
			t.Errorf("with %d of 8 places pinned the copies went to %v, want %s", x.pinned, counts, x.want)
		}
	}
}

// TestFreePlaceIsFound answers a load under which few engines have a place: a request must not wait at a full one.
func TestFreePlaceIsFound(t *testing.T) {
	table := direct()
	for i := range 18 {
		r := engine(fmt.Sprint("engine-", i), 0)
		r.Slots, r.Pinned = 8, 8
		if i%3 == 0 {
			r.Pinned = 2
		}
		observe(table, 10, r)
	}
	full := 0
	for i := range 200 {
		name, _ := table.Choose(at(10), query(fmt.Sprint("adapter-", i)))
		if e := table.names[name]; e.Pinned == e.Slots {
			full++
		}
	}
	if full > 20 {
		t.Errorf("%d of 200 requests wait at full engines while a third of them has places", full)
	}
}

// TestLargeRequestsStayInTheirZone answers paid traffic between zones: a long prompt stays unless its zone is busier by more than it costs.
func TestLargeRequestsStayInTheirZone(t *testing.T) {
	// Copies of an adapter have an order of their own, which is not the matter here.
	table := direct(WithTerms(ZoneTerm | BacklogTerm))
	near, far := wide("near", 6), wide("far", 0)
	near.Resident = []ident.AdapterVersion{version("a")}
	far.Resident = near.Resident
	near.Zone, far.Zone = "a", "b"
	observe(table, 10, near)
	observe(table, 10, far)
	q := query("a")
	q.Zone, q.Bytes = "a", 18<<10
	if counts := chosen(table, q, 10); counts["near"] != 10 {
		t.Errorf("large requests went to %v", counts)
	}
	if q.Bytes = 1 << 10; chosen(table, q, 10)["far"] != 10 {
		t.Error("small requests stay at the busier engine")
	}
}
