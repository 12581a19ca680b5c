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
		name, body       string
		status           int
		leaving, wantErr bool
	}{
		{"host is not leaving", `[{"Host":"a","Leaving":false},{"Host":"b","Leaving":true}]`, 200, false, false},
		{"host is leaving", `[{"Host":"a","Leaving":true}]`, 200, true, false},
		{"host is not listed", `[{"Host":"b","Leaving":true}]`, 200, false, false},
		{"null instead of a list", `null`, 200, false, false},
		{"object instead of a list", `{"Host":"a","Leaving":true}`, 200, false, true},
		{"status 503", `[{"Host":"a","Leaving":true}]`, 503, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(c.status)
				io.WriteString(w, c.body)
			}))
			defer s.Close()
			client := New(s.URL)
			defer client.Close()
			leaving, err := client.Leaving(t.Context(), "a")
			if leaving != c.leaving || (err != nil) != c.wantErr {
				t.Errorf("leaving %t, error %v", leaving, err)
			}
		})
	}
}
