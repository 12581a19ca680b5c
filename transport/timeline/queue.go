package timeline

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// queueBytes bounds the lines that wait to be written.
	queueBytes = 512 << 10
	// flushEvery is the interval of the writes, each of which costs a system call.
	flushEvery = 100 * time.Millisecond
)

// Queue is a writer that never blocks: lines that find no room are dropped and counted.
type Queue struct {
	out     io.Writer
	mu      sync.Mutex
	waiting []byte
	writing []byte
	dropped int
	wake    chan struct{}
	done    chan struct{}
	stop    chan struct{}
	once    sync.Once
}

// NewQueue returns a queue in front of a writer; Flush writes what is left.
func NewQueue(out io.Writer) *Queue {
	q := &Queue{out: out, wake: make(chan struct{}, 1), done: make(chan struct{}), stop: make(chan struct{})}
	go q.run()
	return q
}

// Write queues one line.
func (q *Queue) Write(line []byte) (n int, err error) {
	q.mu.Lock()
	first := len(q.waiting) == 0
	if len(q.waiting)+len(line) > queueBytes {
		q.dropped++
	} else {
		q.waiting = append(q.waiting, line...)
	}
	q.mu.Unlock()
	if first {
		select {
		case q.wake <- struct{}{}:
		default:
		}
	}
	return len(line), nil
}

// Flush writes what is left and ends the queue.
func (q *Queue) Flush() {
	q.once.Do(func() { close(q.stop) })
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
		// Lines of the next moments go into the same write.
		select {
		case <-time.After(flushEvery):
		case <-q.stop:
		}
		q.flush()
	}
}

func (q *Queue) flush() {
	q.mu.Lock()
	q.waiting, q.writing = q.writing[:0], q.waiting
	if q.dropped > 0 {
		q.writing = fmt.Appendf(q.writing, "{\"Level\":\"WARN\",\"Message\":\"log lines dropped\",\"Lines\":%d}\n", q.dropped)
		q.dropped = 0
	}
	q.mu.Unlock()
	// A log that cannot be written has no other place to say so.
	_, _ = q.out.Write(q.writing)
}
