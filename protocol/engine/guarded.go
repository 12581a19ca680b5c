package engine

import "io"

// guardedBody makes the guard's check while the connection's writer reads the body. A check before the request alone
// leaves the time of a dial and of a hand-over between goroutines in which a pause can end the claim. Without its whole
// body no request runs.
type guardedBody struct {
	io.ReadCloser
	guard func() error
}

// Read fails with a CallError without effect if the guard does.
func (g guardedBody) Read(p []byte) (n int, err error) {
	if err = g.guard(); err != nil {
		return 0, &CallError{Effect: NoEffect, Err: err}
	}
	return g.ReadCloser.Read(p)
}
