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

	"shallotring.dev/protocol/upstream"
)

const (
	// maxWhole is the size in bytes up to which an answer is read whole before any of it is passed on: one that breaks can
	// then still be repeated or answered with a failure.
	maxWhole = 256 << 10
	// pieceBuffer is the size in bytes of the buffer of a stream; an event has some hundred bytes.
	pieceBuffer = 8 << 10
	// writeGrace is the time beyond the deadline after which a caller that does not read is cut off.
	writeGrace = 2 * time.Second
)

var pieces = sync.Pool{New: func() any { b := make([]byte, pieceBuffer); return &b }}

// head passes on the status and headers of an answer.
func head(w http.ResponseWriter, a *upstream.Answer) {
	h := w.Header()
	for name, values := range forwarded(a.Header) {
		h[name] = values
	}
	if h["Content-Type"] == nil {
		// A nil value keeps net/http from guessing one.
		h["Content-Type"] = nil
	}
}

// whole reads an answer that is not a stream and passes it on.
func (f *Frontend) whole(ctx context.Context, w http.ResponseWriter, x *request, e *endpoint, a *upstream.Answer) (done, again bool) {
	b, err := io.ReadAll(io.LimitReader(a.Body, maxWhole+1))
	if err != nil {
		f.metrics.broken.Inc()
		f.log.Info("answer broke", x.id(), slog.String("Endpoint", string(e.name)), slog.Int("Bytes", len(b)), slog.Any("Error", err))
		if ctx.Err() != nil {
			x.runs++
			return false, false
		}
		f.count(e, true, false)
		return false, f.again(x, e, true)
	}
	head(w, a)
	if len(b) <= maxWhole {
		w.Header().Set("Content-Length", strconv.Itoa(len(b)))
		w.WriteHeader(a.Status)
		_, err = w.Write(b)
	} else {
		w.WriteHeader(a.Status)
		if _, err = w.Write(b); err == nil {
			_, err = io.Copy(w, a.Body)
		}
	}
	f.finished(x, e, a.Status, len(b), 0, err)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	return true, false
}

// stream passes the pieces of an answer on as they arrive. One that breaks ends the caller's connection, so that it does not
// look complete.
func (f *Frontend) stream(ctx context.Context, w http.ResponseWriter, x *request, e *endpoint, a *upstream.Answer) (done bool) {
	p := pace{began: x.arrived, last: x.arrived}
	defer func() {
		f.mu.Lock()
		f.left(x, e, f.query(x))
		f.mu.Unlock()
	}()
	control := http.NewResponseController(w)
	b, _ := pieces.Get().(*[]byte)
	defer pieces.Put(b)
	total, count, opened := 0, 0, false
	for {
		n, err := a.Body.Read(*b)
		if n > 0 {
			p.piece(f.clock.Now())
			if !opened {
				opened = true
				head(w, a)
				w.WriteHeader(a.Status)
			}
			total += n
			count++
			_, e := w.Write((*b)[:n])
			if e == nil {
				e = control.Flush()
			}
			if e != nil {
				err = e
			}
		}
		if err == nil {
			continue
		}
		if errors.Is(err, io.EOF) {
			if !opened {
				head(w, a)
				w.WriteHeader(a.Status)
			}
			f.finished(x, e, a.Status, total, count, nil, p.attributes()...)
			return true
		}
		f.metrics.broken.Inc()
		f.finished(x, e, a.Status, total, count, errors.Join(err, context.Cause(ctx)), p.attributes()...)
		if ctx.Err() == nil {
			f.count(e, true, false)
		}
		if !opened && ctx.Err() == nil {
			x.runs++
			f.fail(ctx, w, x)
			return true
		}
		panic(http.ErrAbortHandler)
	}
}

// pace is what a caller sees of a stream: the time to the first piece and the longest pause after it.
type pace struct {
	began time.Time
	last  time.Time
	first time.Duration
	pause time.Duration
}

func (p *pace) piece(now time.Time) {
	if p.first == 0 {
		p.first = now.Sub(p.began)
	} else {
		p.pause = max(p.pause, now.Sub(p.last))
	}
	p.last = now
}

func (p *pace) attributes() []slog.Attr {
	return []slog.Attr{slog.Int64("FirstMilli", p.first.Milliseconds()), slog.Int64("PauseMilli", p.pause.Milliseconds())}
}

// finished writes the line of a request's end.
func (f *Frontend) finished(x *request, e *endpoint, status, bytes, pieces int, err error, more ...slog.Attr) {
	f.log.LogAttrs(context.Background(), slog.LevelInfo, "request finished", append(more, x.id(), slog.String("Endpoint", string(e.name)), slog.String("Route", x.route.Name),
		slog.String("Adapter", x.adapter.String()), slog.Int("Status", status), slog.Int("Bytes", bytes), slog.Int("Pieces", pieces), slog.Int("Sends", x.sends),
		slog.Int64("DurationMilli", f.clock.Since(x.arrived).Milliseconds()), slog.Any("Error", err))...)
}
