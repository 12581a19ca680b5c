package responseend

import (
	"errors"
	"net"
	"net/http"
	"os"

	"github.com/rotisserie/eris"
)

var errRequestUndelivered = eris.New("the server ended a successful response before it had received the request")

// Check returns an error if the end of the connection does not complete a response. writeErr is the result of writing the request; delivered is false
// if the server closed the connection before it had received everything that was written.
//
// The system reports a reset to one call alone: if a write gets it, a read sees the same end as that of a complete response. A process that crashes
// and has read what had arrived by then ends its connections without a reset.
func Check(status int, writeErr error, delivered bool) error {
	// The client itself stops the write when the response ends, by a deadline or by closing the connection.
	stopped := errors.Is(writeErr, os.ErrDeadlineExceeded) || errors.Is(writeErr, net.ErrClosed)
	if writeErr != nil && !stopped {
		return eris.Wrap(writeErr, "the connection broke while the request was sent")
	}
	// A server may refuse a request before it has received all of it.
	if (stopped || !delivered) && status < http.StatusMultipleChoices {
		return errRequestUndelivered
	}
	return nil
}
