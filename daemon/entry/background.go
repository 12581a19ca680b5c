package entry

import "sync"

// background runs calls that no request waits for and starts none after stop. A WaitGroup alone is not enough: after an
// aborted graceful stop, handlers that are still running call Go while stop waits.
type background struct {
	mu      sync.Mutex
	calls   sync.WaitGroup
	stopped bool
}

// Go runs fn in a goroutine; after stop it does nothing.
func (b *background) Go(fn func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.stopped {
		b.calls.Go(fn)
	}
}

// stop prevents further calls and waits for those in progress.
func (b *background) stop() {
	b.mu.Lock()
	b.stopped = true
	b.mu.Unlock()
	b.calls.Wait()
}
