package timeline

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

// blockedWriter blocks each write until release is closed.
type blockedWriter struct {
	release chan bool
	bytes.Buffer
}

func (s *blockedWriter) Write(b []byte) (n int, err error) {
	<-s.release
	return s.Buffer.Write(b)
}

// TestQueueNeverBlocks guards against a log that blocks requests while its output is blocked, and against lines that are dropped
// without being counted.
func TestQueueNeverBlocks(t *testing.T) {
	out := &blockedWriter{release: make(chan bool)}
	q := NewQueue(out)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	start := time.Now()
	for range 4 * maxQueueBytes / len(line) {
		q.Write(line)
	}
	if elapsed := time.Since(start); elapsed > time.Second {
		t.Errorf("writes took %v", elapsed)
	}
	close(out.release)
	q.Flush()
	if got := out.String(); !strings.Contains(got, "log lines dropped") || len(got) > 3*maxQueueBytes {
		t.Errorf("%d bytes written, want at most three times the queue size and a line with the number of dropped lines", len(got))
	}
}
