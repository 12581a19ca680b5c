package roundtrip

import (
	"errors"
	"io"

	"shallotring.dev/protocol/responseend"
)

// unframedBody is the body of a response that ends with its connection.
type unframedBody struct {
	io.ReadCloser
	status  int
	attempt *attempt
	// end is the error of all reads after the first that returned one.
	end error
}

// Read returns io.EOF only if the end of the connection completes the response.
func (b *unframedBody) Read(p []byte) (n int, err error) {
	if b.end != nil {
		return 0, b.end
	}
	n, b.end = b.ReadCloser.Read(p)
	if errors.Is(b.end, io.EOF) {
		writeErr, delivered := b.attempt.end()
		if e := responseend.Check(b.status, writeErr, delivered); e != nil {
			b.end = e
		}
	}
	return n, b.end
}
