package timeline

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

// stuck blocks each write until it is released.
type stuck struct {
	release chan bool
	bytes.Buffer
}

func (s *stuck) Write(b []byte) (n int, err error) {
	<-s.release
	return s.Buffer.Write(b)
}

// TestQueueNeverBlocks guards against a log that holds up requests when nobody reads it, and against lines that vanish uncounted.
func TestQueueNeverBlocks(t *testing.T) {
	out := &stuck{release: make(chan bool)}
	q := NewQueue(out)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	began := time.Now()
	for range 4 * queueBytes / len(line) {
		q.Write(line)
	}
	if passed := time.Since(began); passed > time.Second {
		t.Errorf("writes took %v", passed)
	}
	close(out.release)
	q.Flush()
	if got := out.String(); !strings.Contains(got, "log lines dropped") || len(got) > 3*queueBytes {
		t.Errorf("%d bytes written, want the bound and the number of dropped lines", len(got))
	}
}
