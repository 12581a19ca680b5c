package frontend

import (
	"errors"
	"log/slog"
	"net/http"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"shallotring.dev/state/holding"
	"shallotring.dev/transport/guard"
)

// defaultMaxBodyBytes is the limit of a request body if the configuration sets none.
const defaultMaxBodyBytes = 4 << 20

// readBody reads the body of a request, which must be complete at the request's deadline. On an error, status is that of the refusal, and the
// connection closes after it without reading the rest.
func (f *Frontend) readBody(w http.ResponseWriter, r *http.Request, x *request, limit int64) (body []byte, status int, err error) {
	control := http.NewResponseController(w)
	defer func() {
		if err != nil {
			x.conn.AbortClosed()
			w.Header().Set("Connection", "close")
			// Otherwise net/http waits for a part of the rest of the body.
			_ = control.SetReadDeadline(time.Unix(1, 0))
		}
	}()
	if r.ContentLength != 0 {
		if err = control.SetReadDeadline(x.deadline); err != nil {
			f.log.Warn("setting the read deadline failed; a caller that does not send its body is not disconnected", x.id(), slog.Any("Error", err))
		}
		if body, err = x.conn.ReadBody(r.Body, r.ContentLength, limit); err != nil {
			return nil, bodyStatus(err), eris.Wrap(err, "read request body")
		}
		// The server watches the connection while the request is served, which must not end at the deadline of the body.
		if err = control.SetReadDeadline(time.Time{}); err != nil {
			return nil, http.StatusBadRequest, eris.Wrap(err, "reset the read deadline")
		}
	}
	if !x.conn.Enter(holding.Running) {
		return nil, bodyStatus(guard.ErrGaveWay), guard.ErrGaveWay
	}
	return body, 0, nil
}

// bodyStatus returns the status of the refusal of a request whose body could not be read.
func bodyStatus(err error) (status int) {
	switch {
	case errors.Is(err, guard.ErrTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, guard.ErrGaveWay):
		return http.StatusServiceUnavailable
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout
	}
	return http.StatusBadRequest
}
