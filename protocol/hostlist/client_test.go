package hostlist

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
)

// TestLeaving guards against an agent that drains because another host leaves or because the list cannot be read.
func TestLeaving(t *testing.T) {
	for _, c := range []struct {
		name, body    string
		status        int
		leaving, fail bool
	}{
		{"live", `[{"Host":"a","Leaving":false},{"Host":"b","Leaving":true}]`, 200, false, false},
		{"leaving", `[{"Host":"a","Leaving":true}]`, 200, true, false},
		{"not listed", `[{"Host":"b","Leaving":true}]`, 200, false, false},
		{"empty", `null`, 200, false, false},
		{"malformed", `{"Host":"a","Leaving":true}`, 200, false, true},
		{"unavailable", `[{"Host":"a","Leaving":true}]`, 503, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(c.status)
				io.WriteString(w, c.body)
			}))
			defer s.Close()
			l := New(s.URL)
			defer l.Close()
			leaving, err := l.Leaving(t.Context(), "a")
			if leaving != c.leaving || (err != nil) != c.fail {
				t.Errorf("leaving %t, error %v", leaving, err)
			}
		})
	}
}
