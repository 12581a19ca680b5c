package timeline

import (
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"time"

	"shallotring.dev/state/ident"
)

// BenchmarkEvent writes an event to a file; each request logs several.
func BenchmarkEvent(b *testing.B) {
	out, err := os.Create(filepath.Join(b.TempDir(), "log"))
	if err != nil {
		b.Fatal(err)
	}
	defer out.Close()
	l := New(out, Process{ID: ident.NewProcess("entry"), Role: "entry", Host: "host-1", Zone: "zone-a"}, slog.LevelInfo)
	b.ReportAllocs()
	for b.Loop() {
		l.Event(Event{
			Kind: TryEnded, RequestID: "req-3bbfb80bb4bcf6975a13a85c", Try: 1, Incarnation: 12, Caller: "caller", Adapter: "adapter-00011",
			Version: "v2", Endpoint: "engine-3", Outcome: "completed", Status: 200, PromptTokens: 12, CompletionTokens: 16,
			Duration: 2 * time.Millisecond,
		})
	}
}
