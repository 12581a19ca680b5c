package admin

import (
	"io"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-chi/chi/v5"
)

// Readiness returns the reason why a process must not get new work; an empty reason means that it is ready.
type Readiness func() (reason string)

// Handler serves /metrics, /healthz and /readyz.
func Handler(set *metrics.Set, ready Readiness) http.Handler {
	r := chi.NewRouter()
	r.Get("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		set.WritePrometheus(w)
		// Packages that are not tied to one daemon register their counters in the default set.
		metrics.WritePrometheus(w, true)
	})
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, "ok\n")
	})
	r.Get("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if reason := ready(); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		io.WriteString(w, "ok\n")
	})
	return r
}
