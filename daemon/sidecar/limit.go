package sidecar

import (
	"log/slog"

	"shallotring.dev/state/sendlimit"
)

// recordLimit records the limit that a report of the engine names, or that it names none.
func (s *Sidecar) recordLimit(l sendlimit.Limit) {
	if l == s.limit {
		return
	}
	s.log.Info("limit of the engine changed", slog.String("Endpoint", string(s.endpoint)), l.Attr(), slog.Float64("FormerPerSecond", s.limit.PerSecond))
	s.limit = l
}

// countLimitedCall counts a call to an engine that names a limit.
func (s *Sidecar) countLimitedCall() {
	if s.limit.Named {
		s.limitedCalls.Inc()
	}
}
