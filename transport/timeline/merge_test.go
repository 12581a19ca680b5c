package timeline

import (
	"strings"
	"testing"
	"time"
)

// TestMerge guards against a timeline of a request that is out of order or lacks the lines of one process.
func TestMerge(t *testing.T) {
	entry := `{"Time":"2026-01-01T00:00:01Z","Message":"request received","Process":"e","RequestID":"r1"}
{"Time":"2026-01-01T00:00:03Z","Message":"request received","Process":"e","RequestID":"r2"}
{"Time":"2026-01-01T00:00:05Z","Message":"request finished","Process":"e","RequestID":"r1"}
`
	agent := `not a line of the project
{"Time":"2026-01-01T01:00:04+01:00","Message":"try ended","Process":"a","RequestID":"r1","Adapter":"x","Endpoint":"g"}
{"Time":"2026-01-01T00:00:02Z","Message":"try started","Process":"a","RequestID":"r1","Adapter":"x","Endpoint":"g"}
`
	at := func(second int) time.Time { return time.Date(2026, 1, 1, 0, 0, second, 0, time.UTC) }
	cases := []struct {
		name   string
		filter Filter
		want   string
	}{
		{"all", Filter{}, "request received,try started,request received,try ended,request finished"},
		{"request", Filter{RequestID: "r1"}, "request received,try started,try ended,request finished"},
		{"adapter", Filter{Adapter: "x"}, "try started,try ended"},
		{"endpoint", Filter{Endpoint: "other"}, ""},
		{"times", Filter{Since: at(2), Until: at(4)}, "try started,request received"},
	}
	for _, x := range cases {
		list, skipped, err := Merge(x.filter, strings.NewReader(entry), strings.NewReader(agent))
		var names []string
		for _, l := range list {
			names = append(names, l.Message)
		}
		if got := strings.Join(names, ","); err != nil || got != x.want || skipped != 1 {
			t.Errorf("%s: %s, skipped %d, %v; want %s", x.name, got, skipped, err, x.want)
		}
	}
}
