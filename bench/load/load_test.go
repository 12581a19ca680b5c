package load

import (
	"net/http"
	"net/http/httptest"
	"os"
	"sync/atomic"
	"testing"
	"time"
)

func TestReadUsage(t *testing.T) {
	// Guards against a changed position of the processor times in /proc.
	u, err := ReadUsage(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	if u.Resident <= 0 || u.Peak < u.Resident || u.CPU < 0 || u.CPU > time.Hour {
		t.Errorf("usage %+v", u)
	}
}

func TestClosedLoopCountsFailures(t *testing.T) {
	// Guards against failed calls that count as served ones.
	var status atomic.Int32
	status.Store(http.StatusOK)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(int(status.Load())) }))
	defer s.Close()
	calls := []call{{url: s.URL, model: "a@v1"}}
	if r := closedLoop(t.Context(), calls, 1, 50*time.Millisecond); r.count() == 0 || r.failed != 0 || r.failure != nil {
		t.Errorf("%d served, %d failed: %v", r.count(), r.failed, r.failure)
	}
	status.Store(http.StatusServiceUnavailable)
	if r := closedLoop(t.Context(), calls, 1, 50*time.Millisecond); r.count() != 0 || r.failed == 0 || r.failure == nil {
		t.Errorf("%d served, %d failed: %v", r.count(), r.failed, r.failure)
	}
}
