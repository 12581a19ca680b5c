package frame

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"errors"
	"hash"
	"io"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protodelim"

	"shallotring.dev/protocol/wire"
)

// Errors of a stream that is not a complete and intact response to its try.
var (
	ErrTruncated = eris.New("stream ended without its last frame")
	ErrOtherTry  = eris.New("frame belongs to another try")
	ErrSequence  = eris.New("frame out of sequence")
	ErrDigest    = eris.New("response does not match its frame count or digest")
)

// MaxFrameBytes limits the size of one frame.
const MaxFrameBytes = 8 << 20

// Checker verifies the frames of one try in the order in which they arrive.
type Checker struct {
	id       *wire.TryID
	count    uint64
	digest   hash.Hash
	accepted bool
	ended    bool
}

// NewChecker returns a checker that accepts only frames of the given try.
func NewChecker(id *wire.TryID) *Checker { return &Checker{id: id, digest: sha256.New()} }

// Check verifies the next frame; after an error the frame must not be passed to the caller.
func (c *Checker) Check(f *wire.Frame) (err error) {
	if !sameTry(f.GetID(), c.id) {
		return ErrOtherTry
	}
	if c.ended {
		return ErrSequence
	}
	switch f.GetKind() {
	case wire.FrameKind_FRAME_KIND_ACCEPTED:
		return c.checkAccepted()
	case wire.FrameKind_FRAME_KIND_REFUSED:
		return c.checkRefused()
	case wire.FrameKind_FRAME_KIND_DATA:
		return c.checkData(f)
	case wire.FrameKind_FRAME_KIND_END:
		return c.checkEnd(f.GetEnd())
	}
	return ErrSequence
}

// Ended reports whether the last frame of the response has been verified.
func (c *Checker) Ended() bool { return c.ended }

func (c *Checker) checkAccepted() (err error) {
	if c.accepted {
		return ErrSequence
	}
	c.accepted = true
	return nil
}

func (c *Checker) checkRefused() (err error) {
	if c.accepted {
		return ErrSequence
	}
	c.ended = true
	return nil
}

func (c *Checker) checkData(f *wire.Frame) (err error) {
	if !c.accepted || f.GetNumber() != c.count+1 {
		return ErrSequence
	}
	c.count++
	c.digest.Write(f.GetData())
	return nil
}

func (c *Checker) checkEnd(e *wire.End) (err error) {
	if !c.accepted {
		return ErrSequence
	}
	if e.GetCount() != c.count || !bytes.Equal(e.GetDigest(), c.digest.Sum(nil)) {
		return ErrDigest
	}
	c.ended = true
	return nil
}

func sameTry(a, b *wire.TryID) bool {
	return a.GetRequestID() == b.GetRequestID() && a.GetTry() == b.GetTry() && a.GetIncarnation() == b.GetIncarnation()
}

// Reader reads and verifies the frames of one try.
type Reader struct {
	in      *bufio.Reader
	checker *Checker
}

// NewReader returns a reader that accepts only frames of the given try.
func NewReader(in io.Reader, id *wire.TryID) *Reader {
	return &Reader{in: bufio.NewReader(in), checker: NewChecker(id)}
}

// Next returns the next verified frame, io.EOF after the last one, and ErrTruncated if the stream ends before the last one.
func (r *Reader) Next() (f *wire.Frame, err error) {
	if r.checker.Ended() {
		return nil, io.EOF
	}
	f = &wire.Frame{}
	err = protodelim.UnmarshalOptions{MaxSize: MaxFrameBytes}.UnmarshalFrom(r.in, f)
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return nil, ErrTruncated
	}
	if err != nil {
		return nil, eris.Wrap(err, "read frame")
	}
	if err = r.checker.Check(f); err != nil {
		return nil, err
	}
	return f, nil
}
