package timeline

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxQueueBytes limits the lines that wait to be written.
	maxQueueBytes = 512 << 10
	// flushInterval is the time between two writes, each of which costs a system call.
	flushInterval = 100 * time.Millisecond
)

// Queue is a writer that never blocks: lines that exceed its capacity are dropped and counted.
type Queue struct {
	out      io.Writer
	mu       sync.Mutex
	pending  []byte
	writing  []byte
	dropped  int
	wake     chan struct{}
	done     chan struct{}
	stop     chan struct{}
	stopOnce sync.Once
}

// NewQueue returns a queue that writes to out in the background. Flush must be called to write the remaining lines and stop it.
func NewQueue(out io.Writer) *Queue {
	q := &Queue{out: out, wake: make(chan struct{}, 1), done: make(chan struct{}), stop: make(chan struct{})}
	go q.run()
	return q
}

// Write queues one line.
func (q *Queue) Write(line []byte) (n int, err error) {
	q.mu.Lock()
	wasEmpty := len(q.pending) == 0
	if len(q.pending)+len(line) > maxQueueBytes {
		q.dropped++
	} else {
		q.pending = append(q.pending, line...)
	}
	q.mu.Unlock()
	if wasEmpty {
		select {
		case q.wake <- struct{}{}:
		default:
		}
	}
	return len(line), nil
}

// Flush writes the remaining lines and stops the queue.
func (q *Queue) Flush() {
	q.stopOnce.Do(func() { close(q.stop) })
	<-q.done
}

func (q *Queue) run() {
	defer close(q.done)
	for {
		select {
		case <-q.wake:
		case <-q.stop:
			q.flush()
			return
		}
		// Lines that arrive within flushInterval go into the same write.
		select {
		case <-time.After(flushInterval):
		case <-q.stop:
		}
		q.flush()
	}
}

func (q *Queue) flush() {
	q.mu.Lock()
	q.pending, q.writing = q.writing[:0], q.pending
	if q.dropped > 0 {
		q.writing = fmt.Appendf(q.writing, "{\"Level\":\"WARN\",\"Message\":\"log lines dropped\",\"Lines\":%d}\n", q.dropped)
		q.dropped = 0
	}
	q.mu.Unlock()
	// An error of the log itself cannot be reported anywhere.
	_, _ = q.out.Write(q.writing)
}
