package agent

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"
)

// recorder records the order of writes and changes of the deadline.
type recorder struct {
	*httptest.ResponseRecorder
	calls []string
}

func (r *recorder) Write(p []byte) (n int, err error) {
	r.calls = append(r.calls, "write")
	return len(p), nil
}

func (r *recorder) SetWriteDeadline(t time.Time) (err error) {
	r.calls = append(r.calls, map[bool]string{true: "clear", false: "set"}[t.IsZero()])
	return nil
}

// TestEachWriteHasItsOwnDeadline guards against a stream that fails after a long pause between two chunks, and a deadline that
// remains set for the next request on the connection.
func TestEachWriteHasItsOwnDeadline(t *testing.T) {
	r := &recorder{ResponseRecorder: httptest.NewRecorder()}
	w := &deadlineWriter{ResponseWriter: r, control: http.NewResponseController(r)}
	for range 2 {
		if _, err := w.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
	}
	w.clearDeadline()
	if want := []string{"set", "write", "set", "write", "clear"}; !slices.Equal(r.calls, want) {
		t.Errorf("calls %v, want %v", r.calls, want)
	}
}
