package frame

import (
	"crypto/sha256"
	"hash"
	"io"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protodelim"

	"shallotring.dev/protocol/wire"
)

// Writer writes the frames of one try; it is not safe for concurrent use.
type Writer struct {
	out    io.Writer
	id     *wire.TryID
	count  uint64
	digest hash.Hash
	ended  bool
}

// NewWriter returns a writer that sets the id of the try on each frame.
func NewWriter(out io.Writer, id *wire.TryID) *Writer {
	return &Writer{out: out, id: id, digest: sha256.New()}
}

// Accept writes the frame that states that the try is accepted.
func (w *Writer) Accept() (err error) {
	return w.write(&wire.Frame{Kind: wire.FrameKind_FRAME_KIND_ACCEPTED})
}

// Refuse writes the only frame of a try that is refused and does not run.
func (w *Writer) Refuse(r *wire.Refusal) (err error) {
	w.ended = true
	return w.write(&wire.Frame{Kind: wire.FrameKind_FRAME_KIND_REFUSED, Refusal: r})
}

// Data writes one chunk of the response; status and content type are those of the endpoint's response.
func (w *Writer) Data(data []byte, status int32, contentType string) (err error) {
	w.count++
	w.digest.Write(data)
	f := &wire.Frame{Kind: wire.FrameKind_FRAME_KIND_DATA, Number: w.count, Data: data}
	if w.count == 1 {
		f.Status, f.ContentType = status, contentType
	}
	return w.write(f)
}

// End writes the last frame; it sets the frame count and the digest.
func (w *Writer) End(e *wire.End, status int32, contentType string) (err error) {
	e.Count, e.Digest = w.count, w.digest.Sum(nil)
	w.ended = true
	return w.write(&wire.Frame{Kind: wire.FrameKind_FRAME_KIND_END, End: e, Status: status, ContentType: contentType})
}

// Ended reports whether the last frame has been written.
func (w *Writer) Ended() bool { return w.ended }

func (w *Writer) write(f *wire.Frame) (err error) {
	defer func() { err = eris.Wrap(err, "write frame") }()
	f.ID = w.id
	_, err = protodelim.MarshalTo(w.out, f)
	return err
}
