package admin

import (
	"io"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-chi/chi/v5"
)

// Readiness reports why a process must not get new work; an empty reason means that it is ready.
type Readiness func() (reason string)

// Handler serves /metrics, /healthz and /readyz.
func Handler(set *metrics.Set, ready Readiness) http.Handler {
	r := chi.NewRouter()
	r.Get("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		set.WritePrometheus(w)
		// The default set has the counters of packages that belong to no daemon.
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
