package frontend

import (
	"bytes"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"testing"

	"shallotring.dev/platform/message"
	"shallotring.dev/protocol/upstream"
)

// discardWriter is a caller's response that drops its body.
type discardWriter struct{ header http.Header }

func (w discardWriter) Header() http.Header             { return w.header }
func (discardWriter) WriteHeader(int)                   {}
func (discardWriter) Write(p []byte) (n int, err error) { return len(p), nil }

// BenchmarkForwardResponse forwards bodies that end with their connection: JSON, whose end is checked, and bytes, whose end is not.
func BenchmarkForwardResponse(b *testing.B) {
	element := `{"index":0,"text":"` + strings.Repeat("some words of text\\n", 50) + `"},`
	f := New(message.Headers{}, "edge-1", "a", WithLog(slog.New(slog.DiscardHandler)))
	for _, size := range []int{1 << 20, 4 << 20, 15 << 20} {
		body := []byte("[" + strings.Repeat(element, size/len(element)) + "1]")
		for check, contentType := range map[bool]string{false: "application/octet-stream", true: "application/json"} {
			b.Run(fmt.Sprintf("%d MiB, check %t", size>>20, check), func(b *testing.B) {
				b.ReportAllocs()
				b.SetBytes(int64(len(body)))
				for b.Loop() {
					response := &upstream.Response{Status: http.StatusOK, Header: http.Header{"Content-Type": {contentType}}, Body: bytes.NewReader(body), Framing: upstream.CloseFraming}
					if done, _ := f.forwardResponse(b.Context(), discardWriter{http.Header{}}, &request{}, &endpoint{}, response); !done {
						b.Fatal("not forwarded")
					}
				}
			})
		}
	}
}
