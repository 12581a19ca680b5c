package frontend

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// TestStoppingEntrySendsNothingThatItCannotFinish guards against a request that was taken in time, waited, and is passed on to an endpoint in the
// late grace of a planned stop: it would be cut without a response at the end.
func TestStoppingEntrySendsNothingThatItCannotFinish(t *testing.T) {
	for _, x := range []struct {
		path string
		// remaining is the time until the process ends; the deadline of the requests is some seconds away.
		remaining  time.Duration
		wantStatus int
	}{
		{"/once/", 100 * time.Millisecond, http.StatusServiceUnavailable},
		{"/again/", 100 * time.Millisecond, http.StatusServiceUnavailable},
		{"/stream/", time.Hour, http.StatusServiceUnavailable},
		{"/once/", time.Hour, http.StatusOK},
	} {
		t.Run(fmt.Sprint(x.path, x.remaining), func(t *testing.T) {
			var f *Frontend
			// The first endpoint refuses the request while the entry begins its late grace.
			busy := newBackend(t, func(b *backend, w http.ResponseWriter, r *http.Request) {
				f.RefuseStreams(time.Now().Add(x.remaining))
				refuseRequest(b, w, r)
			})
			other := newBackend(t, serveRequest)
			var address string
			for i := 0; ; i++ {
				f, address = newFrontend(t, busy, other)
				status, _, _, err := sendRequest(t, address, x.path, fmt.Sprint("r", i))
				if busy.hits == 0 && i < 50 {
					continue // the other endpoint was chosen first
				}
				if err != nil || status != x.wantStatus {
					t.Errorf("response = %d %v, want %d", status, err, x.wantStatus)
				}
				if n := other.runCount(fmt.Sprint("r", i)); (n > 0) != (x.wantStatus == http.StatusOK) {
					t.Errorf("%d runs of a request with status %d", n, status)
				}
				return
			}
		})
	}
}
