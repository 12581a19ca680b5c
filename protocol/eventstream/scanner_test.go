package eventstream

import "testing"

// TestScanner guards against taking a stream that ends inside an event for a complete one, and the reverse, wherever the reads split
// its bytes.
func TestScanner(t *testing.T) {
	for _, x := range []struct {
		name, text string
		events     int
		inside     bool
	}{
		{"empty", "", 0, false},
		{"one event", "id: 1\ndata: a\n\n", 1, false},
		{"two events", "data: a\n\ndata: b\n\n", 2, false},
		{"inside a field", "data: a\n\nda", 1, true},
		{"after the first field of an event", "data: a\n\nid: 2\n", 1, true},
		{"before the empty line", "data: a\n\nid: 2\ndata: b\n", 1, true},
		{"without a line end", "data: a", 0, true},
		{"further empty lines", "data: a\n\n\n\n", 1, false},
		{"CRLF", "data: a\r\n\r\n", 1, false},
		{"between CR and LF", "data: a\r\n\r", 1, true},
		{"CRLF before the empty line", "data: a\r\n", 0, true},
		{"CR", "data: a\r\rdata: b\r\r", 2, false},
		{"CR before the empty line", "data: a\r", 0, true},
		{"comment between events", "data: a\n\n: keep-alive\n", 1, false},
		{"comment inside an event", "data: a\n: keep-alive\n", 0, true},
		{"inside a comment", "data: a\n\n: keep", 1, true},
	} {
		t.Run(x.name, func(t *testing.T) {
			var whole, split Scanner
			whole.Scan([]byte(x.text))
			for i := range len(x.text) {
				split.Scan([]byte(x.text[i : i+1]))
			}
			if whole != split {
				t.Errorf("read at once %+v, byte by byte %+v", whole, split)
			}
			if whole.Events() != x.events || whole.InsideEvent() != x.inside {
				t.Errorf("%d events, inside an event: %t; want %d, %t", whole.Events(), whole.InsideEvent(), x.events, x.inside)
			}
		})
	}
}
