package mediatype

import "testing"

// TestOf guards against a body that is not checked for its end, or checked as one of another type, because of the way in which its type is
// written or because of further types beside it.
func TestOf(t *testing.T) {
	for _, x := range []struct {
		name              string
		contentTypes      []string
		eventStream, json bool
	}{
		{"no header", nil, false, false},
		{"empty", []string{""}, false, false},
		{"event stream", []string{"text/event-stream"}, true, false},
		{"event stream in other case", []string{"Text/Event-Stream"}, true, false},
		{"event stream in upper case with a parameter", []string{"TEXT/EVENT-STREAM;CHARSET=UTF-8"}, true, false},
		{"event stream with a parameter", []string{"text/event-stream; charset=utf-8"}, true, false},
		{"event stream with spaces and tabs", []string{" \ttext/event-stream\t ; charset=utf-8"}, true, false},
		{"event stream without a semicolon before the parameter", []string{"text/event-stream charset=utf-8"}, true, false},
		{"longer type", []string{"text/event-streams"}, false, false},
		{"shorter type", []string{"text/event"}, false, false},
		{"event stream as a parameter", []string{`text/plain; a="text/event-stream"`}, false, false},
		{"JSON", []string{"application/json"}, false, true},
		{"JSON in other case with spaces", []string{" Application/JSON ;charset=utf-8"}, false, true},
		{"JSON patch", []string{"application/json-patch+json"}, false, true},
		{"JSON by its suffix", []string{"application/vnd.api+JSON; a=b"}, false, true},
		{"JSON text sequence", []string{"application/json-seq"}, false, false},
		{"JSON text sequence by its suffix", []string{"application/geo+json-seq"}, false, false},
		{"JSON lines", []string{"application/jsonl"}, false, false},
		{"text", []string{"text/plain"}, false, false},
		{"second header", []string{"text/plain", "Text/Event-Stream"}, true, false},
		{"first header", []string{"text/event-stream", "text/plain"}, true, false},
		{"both types", []string{"application/json", "text/event-stream"}, true, true},
		{"after an empty header", []string{"", "application/json"}, false, true},
		{"second type in one header", []string{"text/plain;a=b , text/event-stream"}, true, false},
		{"list in a parameter", []string{`application/json; a="x, text/event-stream"`}, false, true},
		{"quote in a parameter", []string{`application/json; a="\", text/event-stream"`}, false, true},
		{"after a quoted parameter", []string{`text/plain; a="\\", text/event-stream`}, true, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			if got := EventStream.Of(x.contentTypes...); got != x.eventStream {
				t.Errorf("event stream: %t, want %t", got, x.eventStream)
			}
			if got := JSON.Of(x.contentTypes...); got != x.json {
				t.Errorf("JSON: %t, want %t", got, x.json)
			}
		})
	}
}
