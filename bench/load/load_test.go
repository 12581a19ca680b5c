package load

import (
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
	var status atomic.Int32
	status.Store(http.StatusOK)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(int(status.Load())) }))
	defer s.Close()
	calls := []call{{url: s.URL, model: "a@v1"}}
	if r := runClients(t.Context(), calls, 1, 50*time.Millisecond); r.count() == 0 || r.failed != 0 || r.failure != nil {
		t.Errorf("calls that get status 200: %d served, %d failed: %v", r.count(), r.failed, r.failure)
	}
	status.Store(http.StatusServiceUnavailable)
	if r := runClients(t.Context(), calls, 1, 50*time.Millisecond); r.count() != 0 || r.failed == 0 || r.failure == nil {
		t.Errorf("calls that get status 503: %d served, %d failed: %v", r.count(), r.failed, r.failure)
	}
}
