package placement

import (
	"testing"
)

// TestTriesEndAtTheirIncarnation guards against requests of an endpoint's previous incarnation that are subtracted from the counts of the
// next one when they end, so that it looks idle and gets more than its share.
func TestTriesEndAtTheirIncarnation(t *testing.T) {
	table := newDirectTable()
	q := Query{BaseModel: "m", Adapter: version("x"), PromptTokens: 4000}
	observe(table, 10, engine("a", 0, "x"))
	var tries []Try
	for range 3 {
		tries = append(tries, table.Sent(at(10), "a", q))
	}
	table.Remove("a")
	observe(table, 10.5, engine("a", 0, "x"))
	table.Sent(at(11), "a", q)
	for _, try := range tries {
		table.RecordPromptRead(try)
		table.Done(at(11), try)
	}
	if e := table.endpoints["a"]; table.requestCount(e) != 1 || e.ownStarting != 1 || e.ownPromptTokens != q.PromptTokens {
		t.Errorf("%d requests, %d prompts with %d tokens; want 1, 1 and %d", table.requestCount(e), e.ownStarting, e.ownPromptTokens, q.PromptTokens)
	}
}
