package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// largeBody is the size in bytes from which the body is written beside the reading of the answer: a server may answer before
// it has read everything.
const largeBody = 16 << 10

// Request is sent as given: neither target nor headers are changed.
type Request struct {
	Method string
	// Target is the path and query as they stand in the request line.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody tells an empty body from none.
	HasBody bool
}

// Error is a failed exchange.
type Error struct {
	error
	// Sent is false if no byte of the request was written, so that the server cannot have seen it.
	Sent bool
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.error }

// Unsent reports whether an error proves that no byte of the request was written.
func Unsent(err error) bool {
	var e *Error
	return errors.As(err, &e) && !e.Sent
}

// Answer is an answer whose body is still to be read; Close must be called.
type Answer struct {
	Status int
	Header http.Header
	// Body ends with io.EOF only if the answer is complete as far as its framing shows.
	Body io.Reader
	// Framed is false if the answer ends with its connection.
	Framed bool

	pool    *Pool
	c       *connection
	stop    func() bool
	written chan struct{}
	ended   bool
	keep    bool
	idle    time.Duration
}

type connection struct {
	conn        net.Conn
	reader      *bufio.Reader
	usableUntil time.Time
}

// abort resets the connection. Bytes that have not arrived are dropped then: behind a cut they would reach the server seconds
// after the request was given up.
func (c *connection) abort() {
	if t, ok := c.conn.(*net.TCPConn); ok {
		// The connection is closed below whether or not the option holds.
		_ = t.SetLinger(0)
	}
	_ = c.conn.Close()
}

func newConnection(conn net.Conn) *connection {
	return &connection{conn: conn, reader: bufio.NewReaderSize(conn, readBuffer)}
}

// Do sends a request and returns once the header of the answer has arrived; the end of the context breaks the exchange at
// any time until the answer is closed.
func (p *Pool) Do(ctx context.Context, r Request) (a *Answer, err error) {
	c, err := p.take(ctx)
	if err != nil {
		return nil, &Error{error: err}
	}
	stop := context.AfterFunc(ctx, c.abort)
	a, err = p.exchange(c, r)
	if err != nil {
		stop()
		c.abort()
		p.drop(c)
		if e := ctx.Err(); e != nil {
			err = eris.Wrap(errors.Join(context.Cause(ctx), err), "exchange ended early")
		}
		return nil, &Error{error: err, Sent: true}
	}
	a.stop = stop
	return a, nil
}

func (p *Pool) exchange(c *connection, r Request) (a *Answer, err error) {
	defer func() { err = eris.Wrapf(err, "%s to %s", r.Method, p.address) }()
	a = &Answer{pool: p, c: c, written: make(chan struct{})}
	head := encode(r)
	if len(r.Body) < largeBody {
		if _, err = c.conn.Write(append(head, r.Body...)); err != nil {
			// The server may have answered before it closed the connection.
			if early, e := a.read(r.Method); e == nil {
				return early, nil
			}
			return nil, err
		}
		close(a.written)
	} else {
		go func() {
			buffers := net.Buffers{head, r.Body}
			if _, e := buffers.WriteTo(c.conn); e == nil {
				close(a.written)
			}
		}()
	}
	return a.read(r.Method)
}

func (a *Answer) read(method string) (_ *Answer, err error) {
	for {
		r, err := http.ReadResponse(a.c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if r.StatusCode >= 100 && r.StatusCode < 200 {
			continue
		}
		a.Status, a.Header = r.StatusCode, r.Header
		a.Framed = r.ContentLength >= 0 || len(r.TransferEncoding) > 0
		a.keep = a.Framed && !r.Close
		a.idle = idleTimeout(r.Header)
		a.Body = &body{answer: a, ReadCloser: r.Body}
		return a, nil
	}
}

type body struct {
	io.ReadCloser
	answer *Answer
}

// Read notes the complete end of the body.
func (b *body) Read(p []byte) (n int, err error) {
	n, err = b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.answer.ended = true
	}
	return n, err
}

// Close returns the connection for reuse if the exchange is complete on both sides, and closes it otherwise.
func (a *Answer) Close() {
	sound := a.stop() && a.ended && a.keep && a.c.reader.Buffered() == 0
	select {
	case <-a.written:
	default:
		sound = false
	}
	if !sound {
		if !a.ended {
			a.c.abort()
		}
		a.pool.drop(a.c)
		return
	}
	a.pool.keep(a.c, a.idle)
}

// encode writes the head of a request; the length of the body is always named.
func encode(r Request) []byte {
	var b bytes.Buffer
	b.Grow(512 + len(r.Body)%largeBody)
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	for name, values := range r.Header {
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	if r.HasBody || len(r.Body) > 0 {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// idleTimeout reads the timeout of a Keep-Alive header; 0 if there is none.
func idleTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		if name, value, ok := strings.Cut(strings.TrimSpace(part), "="); ok && strings.EqualFold(name, "timeout") {
			if n, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && n >= 0 {
				return time.Duration(n)*time.Second + time.Millisecond
			}
		}
	}
	return 0
}
