package guard

import (
	"errors"
	"io"

	"github.com/rotisserie/eris"
)

// firstBodyBytes is the size of the first buffer of a body; a full buffer is doubled, so that an announced length alone takes no memory.
const firstBodyBytes = 4 << 10

// ErrTooLarge means that a body is over its limit; none of it is kept.
var ErrTooLarge = eris.New("the body is over the limit")

// ReadBody reads a body to its end. announced is its length, negative if it is not known. A body that is announced over the limit is not read.
// After an error the rest of the body must not be read either.
func (c *Conn) ReadBody(r io.Reader, announced, limit int64) (body []byte, err error) {
	if announced > limit {
		return nil, ErrTooLarge
	}
	most := limit
	if announced >= 0 {
		most = announced
	}
	body, complete, err := c.ReadAhead(r, most)
	if err != nil || complete {
		return body, err
	}
	if int64(len(body)) < most {
		return nil, ErrGaveWay
	}
	var next [1]byte
	switch n, err := io.ReadFull(r, next[:]); {
	case n > 0:
		return nil, ErrTooLarge
	case errors.Is(err, io.EOF):
		return body, nil
	default:
		return nil, c.readError(err)
	}
}

// ReadAhead reads up to limit bytes as far as there is room for them; complete is set if the reader has ended with them.
func (c *Conn) ReadAhead(r io.Reader, limit int64) (b []byte, complete bool, err error) {
	size := min(firstBodyBytes, limit)
	if !c.Take(size) {
		return nil, false, nil
	}
	b = make([]byte, 0, size)
	for {
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		switch {
		case errors.Is(err, io.EOF):
			return b, true, nil
		case err != nil:
			return b, false, c.readError(err)
		case int64(len(b)) == limit:
			return b, false, nil
		case len(b) < cap(b):
			continue
		}
		// Both buffers exist while one is copied.
		former, grown := int64(cap(b)), min(2*int64(cap(b)), limit)
		if !c.Take(grown) {
			return b, false, nil
		}
		b = append(make([]byte, 0, grown), b...)
		c.Give(former)
	}
}

// readError returns the error of a read, which is ErrGaveWay if the read was ended for that.
func (c *Conn) readError(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.revoked {
		return ErrGaveWay
	}
	return err
}
