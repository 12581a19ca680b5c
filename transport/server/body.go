package server

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// bodyDeadline ends the read timeout of the listener with the body. Left in place, net/http would take its passing for a
// disconnected client and cancel a request that takes longer to serve.
func bodyDeadline(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := http.NewResponseController(w)
		if r.Body == nil || r.Body == http.NoBody {
			_ = c.SetReadDeadline(time.Time{})
		} else {
			r.Body = &timedBody{ReadCloser: r.Body, control: c}
		}
		next.ServeHTTP(w, r)
	})
}

// timedBody removes the read deadline at the end of the body.
type timedBody struct {
	io.ReadCloser
	control *http.ResponseController
}

// Read reads a part of the body.
func (b *timedBody) Read(p []byte) (n int, err error) {
	n, err = b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		_ = b.control.SetReadDeadline(time.Time{})
	}
	return n, err
}
