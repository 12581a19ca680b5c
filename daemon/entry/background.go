package entry

import "sync"

// background runs calls that no request waits for; after its end it starts none. A WaitGroup alone does not do: handlers
// that outlive an aborted stop start calls while the stop waits for the last one.
type background struct {
	mu    sync.Mutex
	calls sync.WaitGroup
	ended bool
}

// Go runs fn unless the end has come.
func (b *background) Go(fn func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.ended {
		b.calls.Go(fn)
	}
}

// end waits for the calls that run.
func (b *background) end() {
	b.mu.Lock()
	b.ended = true
	b.mu.Unlock()
	b.calls.Wait()
}
