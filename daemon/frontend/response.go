package frontend

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"shallotring.dev/protocol/eventstream"
	"shallotring.dev/protocol/jsonvalue"
	"shallotring.dev/protocol/mediatype"
	"shallotring.dev/protocol/upstream"
)

const (
	// maxBufferedBytes is the maximum size of a response that is read completely before any of it is forwarded: if reading it
	// fails, the request can still be retried, or the caller gets an error status.
	maxBufferedBytes = 256 << 10
	// maxForwardedBytes is the maximum size of a response. An endpoint in trouble may send bytes without end, which would use up the
	// bandwidth of the host until the deadline.
	maxForwardedBytes = 16 << 20
	// streamBufferBytes is the size of the buffer of a stream; an event has a few hundred bytes.
	streamBufferBytes = 8 << 10
	// writeGracePeriod is the time after the deadline at which the connection of a caller that does not read is closed.
	writeGracePeriod = 2 * time.Second
)

// errResponseTooLarge means that a response is longer than maxForwardedBytes.
var errResponseTooLarge = eris.New("the response is too large")

// errTruncated means that a response has ended according to its framing but its content is not complete.
var errTruncated = eris.New("the response is truncated")

var streamBuffers = sync.Pool{New: func() any { b := make([]byte, streamBufferBytes); return &b }}

// copyHeader copies the end-to-end headers of a response; the following WriteHeader sends them.
func copyHeader(w http.ResponseWriter, response *upstream.Response) {
	h := w.Header()
	for name, values := range endToEndHeaders(response.Header) {
		h[name] = values
	}
	if h["Content-Type"] == nil {
		// A nil value prevents net/http from detecting a content type.
		h["Content-Type"] = nil
	}
}

// forwardResponse reads a response that is not a stream and forwards it. done means that the caller has its response, retry that
// the request may be sent to another endpoint.
func (f *Frontend) forwardResponse(ctx context.Context, w http.ResponseWriter, x *request, e *endpoint, response *upstream.Response) (done, retry bool) {
	body := newCheckedBody(response)
	b, complete, err := x.conn.ReadAhead(body, maxBufferedBytes+1)
	defer func() { x.conn.Give(int64(cap(b))) }()
	if err == nil && complete && body.isTruncated() {
		err = errTruncated
	}
	if err != nil {
		f.metrics.interruptedResponses.Inc()
		f.log.Info("reading the response failed", x.id(), slog.String("Endpoint", string(e.name)), slog.Int("Bytes", len(b)), partsAttr(x), slog.Any("Error", err))
		if ctx.Err() != nil {
			x.runs++
			return false, false
		}
		f.recordResult(e, true, false)
		f.recordInterruption(ctx, x, e, false /* orderly */)
		return false, f.prepareRetry(x, e, true)
	}
	if response.Framing == upstream.CloseFraming {
		f.recordInterruption(ctx, x, e, true /* orderly */)
	}
	copyHeader(w, response)
	if complete {
		w.Header().Set("Content-Length", strconv.Itoa(len(b)))
		w.WriteHeader(response.Status)
		_, err = w.Write(b)
	} else {
		w.WriteHeader(response.Status)
		if _, err = w.Write(b); err == nil {
			err = copyRest(w, body, int64(maxForwardedBytes-len(b)))
		}
		if err == nil && body.isTruncated() {
			err = errTruncated
		}
	}
	f.logFinished(x, e, response.Status, len(b), 0, err)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	f.recordCompleteRun(x, response)
	return true, false
}

// copyRest copies the rest of a response that may have at most limit further bytes.
func copyRest(w io.Writer, body io.Reader, limit int64) (err error) {
	n, err := io.Copy(w, io.LimitReader(body, limit+1))
	if err == nil && n > limit {
		return errResponseTooLarge
	}
	return err
}

// forwardStream forwards the chunks of a response as they arrive. If the stream fails, it aborts the caller's connection, so that
// the response does not look complete.
func (f *Frontend) forwardStream(ctx context.Context, w http.ResponseWriter, x *request, e *endpoint, response *upstream.Response) (done bool) {
	timing := streamTiming{start: x.arrived, lastChunkAt: x.arrived}
	defer func() {
		f.mu.Lock()
		f.removeRunning(x, e)
		f.recordPauses(x, timing.longestPause)
		f.mu.Unlock()
	}()
	control := http.NewResponseController(w)
	b, _ := streamBuffers.Get().(*[]byte)
	defer streamBuffers.Put(b)
	total, chunks, headerWritten := 0, 0, false
	var events eventstream.Scanner
	end := func() []slog.Attr {
		return append(timing.attributes(), slog.String("Framing", string(response.Framing)), slog.Int("Events", events.Events()), slog.Bool("InsideEvent", events.InsideEvent()))
	}
	for {
		n, err := response.Body.Read(*b)
		var writeErr error
		if n > 0 {
			events.Scan((*b)[:n])
			timing.recordChunk(f.clock.Now())
			if !headerWritten {
				headerWritten = true
				copyHeader(w, response)
				w.WriteHeader(response.Status)
			}
			total += n
			chunks++
			if _, writeErr = w.Write((*b)[:n]); writeErr == nil {
				writeErr = control.Flush()
			}
			if writeErr != nil {
				err = writeErr
			} else if total > maxForwardedBytes {
				err = errResponseTooLarge
			}
		}
		if err == nil {
			continue
		}
		if errors.Is(err, io.EOF) && isTruncatedStream(response, &events) {
			err = errTruncated
		}
		if errors.Is(err, io.EOF) {
			if !headerWritten {
				copyHeader(w, response)
				w.WriteHeader(response.Status)
			}
			f.logFinished(x, e, response.Status, total, chunks, nil, end()...)
			if response.Framing == upstream.CloseFraming {
				f.recordInterruption(ctx, x, e, true /* orderly */)
			}
			f.recordCompleteRun(x, response)
			return true
		}
		f.metrics.interruptedResponses.Inc()
		f.logFinished(x, e, response.Status, total, chunks, errors.Join(err, context.Cause(ctx)), append(end(), partsAttr(x))...)
		if ctx.Err() == nil {
			f.recordResult(e, true, false)
			if writeErr == nil {
				f.recordInterruption(ctx, x, e, false /* orderly */)
			}
		}
		if !headerWritten && ctx.Err() == nil {
			x.runs++
			f.fail(ctx, w, x)
			return true
		}
		panic(http.ErrAbortHandler)
	}
}

// isTruncatedStream reports whether a stream has been broken off although it has ended according to its framing. An endpoint that fails may
// end its connection in the same way as after the last event.
func isTruncatedStream(response *upstream.Response, events *eventstream.Scanner) bool {
	if response.Status >= http.StatusMultipleChoices {
		return false // the body of an error need not consist of events
	}
	return events.InsideEvent() || events.Events() == 0 && response.Framing == upstream.CloseFraming
}

// checkedBody is a plain body that is followed while it is read if it is JSON and ends with its connection.
type checkedBody struct {
	io.Reader
	value *jsonvalue.Scanner
}

func newCheckedBody(response *upstream.Response) checkedBody {
	if response.Status >= http.StatusMultipleChoices || response.Framing != upstream.CloseFraming || !mediatype.JSON.Of(response.Header["Content-Type"]...) {
		return checkedBody{Reader: response.Body}
	}
	value := &jsonvalue.Scanner{}
	return checkedBody{Reader: io.TeeReader(response.Body, value), value: value}
}

// isTruncated reports whether the body, which has been read to its end, has been broken off, as far as its content shows.
func (b checkedBody) isTruncated() bool { return b.value != nil && !b.value.Complete() }

// streamTiming measures a stream as the caller observes it: the time to the first chunk and the longest pause after it.
type streamTiming struct {
	start           time.Time
	lastChunkAt     time.Time
	firstChunkDelay time.Duration
	longestPause    time.Duration
}

func (p *streamTiming) recordChunk(now time.Time) {
	if p.firstChunkDelay == 0 {
		p.firstChunkDelay = now.Sub(p.start)
	} else {
		p.longestPause = max(p.longestPause, now.Sub(p.lastChunkAt))
	}
	p.lastChunkAt = now
}

func (p *streamTiming) attributes() []slog.Attr {
	return []slog.Attr{slog.Int64("FirstMilli", p.firstChunkDelay.Milliseconds()), slog.Int64("PauseMilli", p.longestPause.Milliseconds())}
}

// logFinished logs the end of a request.
func (f *Frontend) logFinished(x *request, e *endpoint, status, bytes, chunks int, err error, attrs ...slog.Attr) {
	f.log.LogAttrs(context.Background(), slog.LevelInfo, "request finished", append(attrs, x.id(), slog.String("Endpoint", string(e.name)), slog.String("Route", x.route.Name),
		slog.String("Adapter", x.adapter.String()), slog.Int("Status", status), slog.Int("Bytes", bytes), slog.Int("Pieces", chunks), slog.Int("Sends", x.sends),
		slog.Int64("DurationMilli", f.clock.Since(x.arrived).Milliseconds()), slog.Any("Error", err))...)
}
