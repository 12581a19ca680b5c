package frame

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"shallotring.dev/protocol/wire"
)

var tryID = &wire.TryID{RequestID: "r1", Try: 2, Incarnation: 7}

func responseFrames(t *testing.T) (frames []*wire.Frame) {
	t.Helper()
	var b bytes.Buffer
	w := NewWriter(&b, tryID)
	for _, err := range []error{
		w.Accept(),
		w.Data([]byte("one"), 200, "text/plain"),
		w.Data([]byte("two"), 200, "text/plain"),
		w.End(&wire.End{Outcome: wire.Outcome_OUTCOME_COMPLETED}, 200, "text/plain"),
	} {
		if err != nil {
			t.Fatal(err)
		}
	}
	for b.Len() > 0 {
		f := &wire.Frame{}
		if err := protodelim.UnmarshalFrom(&b, f); err != nil {
			t.Fatal(err)
		}
		frames = append(frames, f)
	}
	return frames
}

// TestReaderRejectsDamagedResponses guards against delivering a response that is truncated, reordered, duplicated, altered or of
// another try as if it were intact.
func TestReaderRejectsDamagedResponses(t *testing.T) {
	tests := []struct {
		name   string
		damage func(f []*wire.Frame) []*wire.Frame
		want   error
	}{
		{"intact", func(f []*wire.Frame) []*wire.Frame { return f }, io.EOF},
		{"truncated before the end", func(f []*wire.Frame) []*wire.Frame { return f[:3] }, ErrTruncated},
		{"truncated after accept", func(f []*wire.Frame) []*wire.Frame { return f[:1] }, ErrTruncated},
		{"empty stream", func(f []*wire.Frame) []*wire.Frame { return nil }, ErrTruncated},
		{"reordered", func(f []*wire.Frame) []*wire.Frame { f[1], f[2] = f[2], f[1]; return f }, ErrSequence},
		{"duplicated", func(f []*wire.Frame) []*wire.Frame { return []*wire.Frame{f[0], f[1], f[1], f[2], f[3]} }, ErrSequence},
		{"missing data", func(f []*wire.Frame) []*wire.Frame { return []*wire.Frame{f[0], f[1], f[3]} }, ErrDigest},
		{"altered data", func(f []*wire.Frame) []*wire.Frame { f[2].Data = []byte("TWO"); return f }, ErrDigest},
		{"no accept", func(f []*wire.Frame) []*wire.Frame { return f[1:] }, ErrSequence},
		{"other try", func(f []*wire.Frame) []*wire.Frame {
			f[2].ID = &wire.TryID{RequestID: "r1", Try: 1, Incarnation: 7}
			return f
		}, ErrOtherTry},
		{"other request", func(f []*wire.Frame) []*wire.Frame {
			f[1].ID = &wire.TryID{RequestID: "r2", Try: 2, Incarnation: 7}
			return f
		}, ErrOtherTry},
		{"other incarnation", func(f []*wire.Frame) []*wire.Frame {
			f[3].ID = &wire.TryID{RequestID: "r1", Try: 2, Incarnation: 8}
			return f
		}, ErrOtherTry},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var b bytes.Buffer
			for _, f := range tt.damage(responseFrames(t)) {
				if _, err := protodelim.MarshalTo(&b, f); err != nil {
					t.Fatal(err)
				}
			}
			if err := readAll(NewReader(&b, tryID)); !errors.Is(err, tt.want) {
				t.Errorf("got %v, want %v", err, tt.want)
			}
		})
	}
}

// FuzzReader guards against arbitrary bytes that crash the reader or pass as frames of another try.
func FuzzReader(f *testing.F) {
	var b bytes.Buffer
	w := NewWriter(&b, tryID)
	_ = w.Accept()
	_ = w.Data([]byte("x"), 200, "text/plain")
	f.Add(b.Bytes())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, in []byte) {
		r := NewReader(bytes.NewReader(in), tryID)
		for {
			fr, err := r.Next()
			if err != nil {
				return
			}
			if !proto.Equal(fr.GetID(), tryID) {
				t.Fatalf("reader returned a frame of try %v", fr.GetID())
			}
		}
	})
}

func readAll(r *Reader) (err error) {
	for {
		if _, err = r.Next(); err != nil {
			return err
		}
	}
}
