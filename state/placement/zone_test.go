package placement

import (
	"fmt"
	"testing"
	"time"

	"shallotring.dev/state/ident"
	"shallotring.dev/state/resource"
)

// newZoneTable returns a table with the zone cost of the programs.
func newZoneTable(options ...Option) *Table {
	return newDirectTable(append([]Option{WithZoneCost(16 * time.Millisecond)}, options...)...)
}

// zoneEngines reports engines per zone, with a free batch and free adapter slots.
func zoneEngines(t *Table, perZone int, zones ...ident.Zone) {
	for _, z := range zones {
		for i := range perZone {
			r := largeBatchEngine(fmt.Sprint(z, "-", i), 0)
			r.Slots, r.Zone = 8, z
			observe(t, 5, r)
		}
	}
}

func zoneOf(t *Table, name ident.Endpoint) ident.Zone { return t.endpoints[name].Zone }

// TestColdAdapterLoadsInOwnZone guards against traffic between zones for adapters that are requested once: any engine has to load them, so
// an engine in the zone of the entry costs nothing more.
func TestColdAdapterLoadsInOwnZone(t *testing.T) {
	table := newZoneTable()
	zoneEngines(table, 2, "a", "b", "c", "d")
	for i := range 100 {
		q := query(fmt.Sprint("adapter-", i))
		q.Zone, q.Bytes = "b", 2300
		if name, _ := table.Choose(at(10), q); zoneOf(table, name) != "b" {
			t.Errorf("adapter %d was placed at %s", i, name)
		}
	}
}

// TestColdAdapterLeavesFullZone guards against requests that wait in their own zone while engines elsewhere have free slots.
func TestColdAdapterLeavesFullZone(t *testing.T) {
	table := newZoneTable()
	zoneEngines(table, 2, "a", "b")
	for i := range 2 {
		r := largeBatchEngine(fmt.Sprint("a-", i), 40)
		r.Slots, r.Pinned, r.Zone, r.Starting = 8, 8, "a", 20
		observe(table, 6, r)
	}
	table.meanPrompt = 5000
	q := query("cold")
	q.Zone, q.Bytes = "a", 2300
	if name, _ := table.Choose(at(10), q); zoneOf(table, name) != "b" {
		t.Errorf("the adapter was placed at %s, whose slots are all pinned", name)
	}
}

// TestPlainRequestsStayInTheirZone guards against requests of plain services that cross zones at random, and against an instance that is
// filled up because it is the only one in its zone.
func TestPlainRequestsStayInTheirZone(t *testing.T) {
	table := newZoneTable()
	for _, z := range []ident.Zone{"a", "b", "c", "d"} {
		observe(table, 5, Report{Endpoint: ident.Endpoint(z), Kind: resource.Service, Service: "orders", Zone: z, BatchSize: 6})
	}
	q := Query{Service: "orders", Zone: "c", Bytes: 1700}
	counts := make(map[ident.Endpoint]int)
	var previous Try
	for i := range 40 {
		name, _ := table.Choose(at(10), q)
		counts[name]++
		try := table.Sent(at(10), name, q)
		if i%2 == 1 {
			table.Done(at(10), previous)
			table.Done(at(10), try)
		}
		previous = try
	}
	if counts["c"] != 40 {
		t.Errorf("with one or two requests in progress they went to %v, want all in the zone", counts)
	}
	clear(counts)
	for range 20 {
		name, _ := table.Choose(at(11), q)
		counts[name]++
		table.Sent(at(11), name, q)
	}
	if counts["c"] > 8 {
		t.Errorf("20 requests at once went to %v, want the zone's instance not overfilled", counts)
	}
}

// TestOwnZoneFirstAmongManyHolders guards against requests that cross zones because only some of many holders are compared.
func TestOwnZoneFirstAmongManyHolders(t *testing.T) {
	table := newZoneTable(WithTerms(DirectTerms &^ ReplicaTerm))
	zoneEngines(table, 5, "a", "b", "c", "d")
	for _, z := range []ident.Zone{"a", "b", "c", "d"} {
		for i := range 5 {
			r := largeBatchEngine(fmt.Sprint(z, "-", i), 0)
			r.Slots, r.Zone = 8, z
			if z != "d" || i == 0 {
				r.Resident = []ident.AdapterVersion{version("popular")}
			}
			observe(table, 6, r)
		}
	}
	q := query("popular")
	q.Zone, q.Bytes = "d", 2300
	if counts := countChoices(table, q, 50); counts["d-0"] != 50 {
		t.Errorf("requests went to %v, want the holder in their zone", counts)
	}
}

// TestPreviousHolderIsRememberedWithoutDemand guards against an adapter that is brought from the weight store again although an engine
// still caches it: the entry has had no request for it, but has seen in the engine's reports that it was resident.
func TestPreviousHolderIsRememberedWithoutDemand(t *testing.T) {
	table := newZoneTable()
	zoneEngines(table, 2, "a", "b")
	r := largeBatchEngine("a-1", 0)
	r.Slots, r.Zone, r.Resident = 8, "a", []ident.AdapterVersion{version("rare")}
	observe(table, 6, r)
	r.Resident = nil
	observe(table, 7, r)
	// Requests for other adapters sweep the table.
	for i := range 50 {
		q := query(fmt.Sprint("other-", i%3))
		name, _ := table.Choose(at(8), q)
		table.Sent(at(8), name, q)
	}
	q := query("rare")
	q.Zone, q.Bytes = "b", 2300
	if counts := countChoices(table, q, 20); counts["a-1"] != 20 {
		t.Errorf("the adapter went to %v, want the engine that held it recently", counts)
	}
	before := len(table.adapters)
	for i := range 200 {
		q := query(fmt.Sprint("later-", i%3))
		name, _ := table.Choose(at(200), q)
		table.Sent(at(200), name, q)
	}
	if _, ok := table.adapters[adapterKey{name: version("rare")}]; ok || len(table.adapters) > before+3 {
		t.Errorf("%d adapters are remembered, among them one that no engine caches any more", len(table.adapters))
	}
}

// TestPopularAdapterGetsReplicaInZone guards against requests for a popular adapter that all go to another zone, and against replicas in
// each zone of adapters that are requested now and then.
func TestPopularAdapterGetsReplicaInZone(t *testing.T) {
	for _, x := range []struct {
		name           string
		requests, size int
		pinned         int
		want           bool
	}{
		{"rare chat", 5, 2 << 10, 0, false}, {"popular chat", 40, 2 << 10, 0, true},
		{"rare document", 2, 18 << 10, 0, false}, {"popular document", 6, 18 << 10, 0, true},
		{"no slot to spare", 40, 2 << 10, 7, false},
	} {
		table := newZoneTable()
		zoneEngines(table, 2, "a", "b")
		for _, name := range []string{"a-0", "a-1", "b-0", "b-1"} {
			r := largeBatchEngine(name, 0)
			r.Slots, r.Pinned, r.Zone = 8, x.pinned, ident.Zone(name[:1])
			if name == "a-0" {
				r.Resident = []ident.AdapterVersion{version("popular")}
			}
			observe(table, 9, r)
		}
		q := query("popular")
		q.Zone, q.Bytes = "b", x.size
		requested := 0
		for range x.requests {
			table.Sent(at(10), "a-0", q)
			if name, ok := table.Prefetch(at(10), q); ok {
				requested++
				if zoneOf(table, name) != "b" {
					t.Errorf("%s: replica requested at %s", x.name, name)
				}
			}
		}
		if (requested == 1) != x.want || requested > 1 {
			t.Errorf("%s: %d replicas requested, want one: %t", x.name, requested, x.want)
		}
	}
}
