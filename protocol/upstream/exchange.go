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

	"shallotring.dev/protocol/responseend"
	"shallotring.dev/protocol/responsehead"
	"shallotring.dev/protocol/socket"
)

// largeBodyBytes is the size from which a request body is written concurrently with reading the response, because a server may
// respond before it has read the whole body.
const largeBodyBytes = 16 << 10

// maxHeadBytes limits the status line and headers of a response together with the informational responses before it.
const maxHeadBytes = 64 << 10

// errHeadTooLarge means that a response has more status lines and headers than maxHeadBytes.
var errHeadTooLarge = eris.New("head of the response is too large")

// Request is sent as given: neither target nor headers are changed.
type Request struct {
	Method string
	// Target is the path and query, written to the request line unchanged.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody distinguishes an empty body from no body.
	HasBody bool
}

// Error is the error of a request without a response.
type Error struct {
	error
	// Sent is false if no byte of the request was written, so that the server cannot have seen it.
	Sent bool
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.error }

// Unsent reports whether an error proves that no byte of the request was written.
func Unsent(err error) bool {
	var e *Error
	return errors.As(err, &e) && !e.Sent
}

// Framing is how a response marks the end of its body.
type Framing string

// The framings. A body with CloseFraming ends with its connection; a sender that fails after it has received the request may end it in the same way.
const (
	LengthFraming  Framing = "length"
	ChunkedFraming Framing = "chunked"
	CloseFraming   Framing = "close"
)

func framing(r *http.Response) Framing {
	switch {
	case len(r.TransferEncoding) > 0:
		return ChunkedFraming
	case r.ContentLength >= 0 || r.Request.Method == http.MethodHead:
		return LengthFraming
	}
	return CloseFraming
}

// Response is a response whose body has not been read yet; Close must be called.
type Response struct {
	Status int
	Header http.Header
	// Body returns io.EOF only if the response is complete according to its framing.
	Body    io.Reader
	Framing Framing
	// First is set if no earlier request was sent on the connection, so that the response cannot belong to one.
	First bool

	pool              *Pool
	connection        *connection
	stopAbort         func() bool
	write             *requestWrite
	bodyComplete      bool
	keepAlive         bool
	serverIdleTimeout time.Duration
}

// requestWrite is the writing of one request, which may go on while the response is read.
type requestWrite struct {
	done chan struct{}
	// err is set before done is closed.
	err error
}

func newRequestWrite() *requestWrite { return &requestWrite{done: make(chan struct{})} }

func (w *requestWrite) end(err error) {
	w.err = err
	close(w.done)
}

type connection struct {
	conn net.Conn
	// socket is conn, for reads.
	socket      *socket.Conn
	reader      *bufio.Reader
	head        *headLimit
	usableUntil time.Time
	// used is set once a request has been sent on the connection.
	used bool
}

// headLimit fails reads after a number of bytes while the head of a response is being read: net/http reads heads of any size.
type headLimit struct {
	io.Reader
	active    bool
	remaining int
}

// Read reads from the connection.
func (l *headLimit) Read(p []byte) (n int, err error) {
	if l.active && l.remaining <= 0 {
		return 0, errHeadTooLarge
	}
	n, err = l.Reader.Read(p)
	l.remaining -= n
	return n, err
}

// abort resets the connection, which drops data that is not acknowledged yet. Otherwise, after a network partition, that data
// would reach the server seconds after the request has been abandoned.
func (c *connection) abort() {
	if t, ok := c.conn.(*net.TCPConn); ok {
		// An error is ignored because the connection is closed in any case.
		_ = t.SetLinger(0)
	}
	_ = c.conn.Close()
}

func newConnection(conn net.Conn) *connection {
	s := socket.New(conn)
	head := &headLimit{Reader: s}
	return &connection{conn: conn, socket: s, head: head, reader: bufio.NewReaderSize(head, readBufferBytes)}
}

// Do sends a request and returns once the headers of the response have arrived. When the context ends before the response is
// closed, the connection is reset.
func (p *Pool) Do(ctx context.Context, r Request) (response *Response, err error) {
	c, err := p.acquire(ctx)
	if err != nil {
		return nil, &Error{error: err}
	}
	stop := context.AfterFunc(ctx, c.abort)
	response, err = p.exchange(c, r)
	if err != nil {
		stop()
		c.abort()
		p.discard(c)
		if e := ctx.Err(); e != nil {
			err = eris.Wrap(errors.Join(context.Cause(ctx), err), "context ended before the response")
		}
		return nil, &Error{error: err, Sent: true}
	}
	response.stopAbort = stop
	return response, nil
}

func (p *Pool) exchange(c *connection, r Request) (response *Response, err error) {
	defer func() {
		err = eris.Wrapf(err, "%s to %s, %d bytes of the response received", r.Method, p.address, maxHeadBytes-c.head.remaining)
	}()
	write := newRequestWrite()
	response = &Response{pool: p, connection: c, write: write, First: !c.used}
	c.used = true
	head := encodeHead(r)
	if len(r.Body) < largeBodyBytes {
		_, err = c.conn.Write(append(head, r.Body...))
		write.end(err)
		if err != nil {
			// The server may have responded before it closed the connection.
			if early, e := response.readHead(r.Method); e == nil {
				return early, nil
			}
			return nil, err
		}
	} else {
		// The result is nil after an error, so the goroutine must not use it.
		go func() {
			buffers := net.Buffers{head, r.Body}
			_, e := buffers.WriteTo(c.conn)
			write.end(e)
		}()
	}
	return response.readHead(r.Method)
}

func (a *Response) readHead(method string) (_ *Response, err error) {
	limit := a.connection.head
	limit.active, limit.remaining = true, maxHeadBytes
	defer func() { limit.active = false }()
	for {
		r, err := http.ReadResponse(a.connection.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if err = responsehead.Check(r.StatusCode, r.Header); err != nil {
			return nil, err
		}
		if r.StatusCode < http.StatusOK {
			continue
		}
		a.Status, a.Header = r.StatusCode, r.Header
		a.Framing = framing(r)
		a.keepAlive = a.Framing != CloseFraming && !r.Close
		a.serverIdleTimeout = keepAliveTimeout(r.Header)
		a.Body = &body{response: a, ReadCloser: r.Body}
		return a, nil
	}
}

type body struct {
	io.ReadCloser
	response *Response
}

// Read records whether the body has been read to its end.
func (b *body) Read(p []byte) (n int, err error) {
	n, err = b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if b.response.Framing == CloseFraming {
		if e := b.response.checkEnd(); e != nil {
			return n, e
		}
	}
	b.response.bodyComplete = true
	return n, err
}

// checkEnd returns an error if the end of the connection does not complete the response.
func (a *Response) checkEnd() error {
	// The read that found the end of the connection has ended a write that waits for the server.
	<-a.write.done
	return responseend.Check(a.Status, a.write.err, !a.connection.socket.Undelivered())
}

// Close releases the connection for reuse if the request has been written and the response read completely; otherwise it
// closes the connection.
func (a *Response) Close() {
	reusable := a.stopAbort() && a.bodyComplete && a.keepAlive && a.connection.reader.Buffered() == 0
	select {
	case <-a.write.done:
		reusable = reusable && a.write.err == nil
	default:
		reusable = false
	}
	if !reusable {
		if !a.bodyComplete {
			a.connection.abort()
		}
		a.pool.discard(a.connection)
		return
	}
	a.pool.release(a.connection, a.serverIdleTimeout)
}

// encodeHead returns the request line and headers; the length of a body is always set.
func encodeHead(r Request) []byte {
	var b bytes.Buffer
	b.Grow(512 + len(r.Body)%largeBodyBytes)
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

// keepAliveTimeout returns the timeout of the Keep-Alive header, or 0 if there is none.
func keepAliveTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		if name, value, ok := strings.Cut(strings.TrimSpace(part), "="); ok && strings.EqualFold(name, "timeout") {
			if n, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && n >= 0 {
				// The millisecond distinguishes an announced timeout of 0 s from none.
				return time.Duration(n)*time.Second + time.Millisecond
			}
		}
	}
	return 0
}
