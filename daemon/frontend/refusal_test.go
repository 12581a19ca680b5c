package frontend

import (
	"fmt"
	"net/http"
	"testing"
)

// TestRepeatedRefusalIsNotBelieved guards against a faulty endpoint that writes an earlier refusal once more on a kept connection: a request
// that runs was refused as one that does not, or ran at a second endpoint.
func TestRepeatedRefusalIsNotBelieved(t *testing.T) {
	for _, x := range []struct {
		name, path, id string
		status         int
		sealed         bool
		wantStatus     int
	}{
		{"no id", "/once/", "", http.StatusServiceUnavailable, false, http.StatusBadGateway},
		{"id of another request", "/once/", "other", http.StatusServiceUnavailable, false, http.StatusBadGateway},
		{"no id, 421", "/once/", "", http.StatusMisdirectedRequest, false, http.StatusBadGateway},
		{"no id, 429", "/once/", "", http.StatusTooManyRequests, false, http.StatusBadGateway},
		{"no id, 400", "/once/", "", http.StatusBadRequest, false, http.StatusBadGateway},
		{"no id, sealed", "/once/", "", http.StatusServiceUnavailable, true, http.StatusBadGateway},
		{"no id, stream", "/stream/", "", http.StatusServiceUnavailable, false, http.StatusBadGateway},
		{"no id, repeatable", "/again/", "", http.StatusServiceUnavailable, false, http.StatusOK},
	} {
		t.Run(x.name, func(t *testing.T) {
			faulty, sound := newBackend(t, nil), newBackend(t, serveRequest)
			faulty.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				faulty.mu.Lock()
				faulty.hits++
				first := faulty.hits == 1
				faulty.mu.Unlock()
				if first {
					serveRequest(faulty, w, r)
					return
				}
				faulty.recordRun(r)
				if x.id != "" {
					w.Header().Set("Shallotring-Attempt-Id", x.id)
				}
				if x.sealed {
					w.Header().Set("Shallotring-Server-Seal", "s")
				}
				w.Header().Set("Shallotring-Not-Executed", "full")
				w.WriteHeader(x.status)
			})
			_, address := newFrontend(t, faulty, sound)
			for i := 0; ; i++ {
				id := fmt.Sprint("r", i)
				code, _, _, err := sendRequest(t, address, x.path, id)
				faulty.mu.Lock()
				reached := faulty.hits > 1
				faulty.mu.Unlock()
				if !reached {
					continue
				}
				if err != nil || code != x.wantStatus {
					t.Errorf("response = %d, %v; want %d", code, err, x.wantStatus)
				}
				if runs := faulty.runCount(id) + sound.runCount(id); x.path != "/again/" && runs != 1 {
					t.Errorf("the request ran %d times", runs)
				}
				break
			}
		})
	}
}
