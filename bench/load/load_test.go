package load

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"sync/atomic"
	"testing"
	"time"
)

// TestReadUsage guards against reading the wrong fields of /proc, which would give impossible processor times or memory sizes.
func TestReadUsage(t *testing.T) {
	u, err := ReadUsage(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	if u.Resident <= 0 || u.Peak < u.Resident || u.CPU < 0 || u.CPU > time.Hour {
		t.Errorf("impossible usage of the test process: %+v", u)
	}
}

// TestFailedCallsAreCountedSeparately guards against failed calls that are counted as served ones, which would make the latencies
// and the throughput too good.
func TestFailedCallsAreCountedSeparately(t *testing.T) {
	// The client sends its third call after two calls have ended, however long they take.
	const calls = 2
	for _, x := range []struct{ status, served, failed int }{{http.StatusOK, calls, 0}, {http.StatusServiceUnavailable, 0, calls}} {
		ctx, cancel := context.WithCancel(t.Context())
		var arrived atomic.Int32
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if arrived.Add(1) > calls {
				cancel()
				return
			}
			w.WriteHeader(x.status)
		}))
		r := runClients(ctx, []call{{url: s.URL, model: "a@v1"}}, 1, time.Minute)
		if int(r.count()) != x.served || int(r.failed) != x.failed || (r.failure != nil) != (x.failed > 0) {
			t.Errorf("calls that get status %d: %d served, %d failed: %v", x.status, r.count(), r.failed, r.failure)
		}
		s.Close()
	}
}
