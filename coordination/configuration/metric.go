package configuration

import "github.com/VictoriaMetrics/metrics"

// violationsName is the counter of changes that would have gone back.
const violationsName = `shallotring_invariant_violations_total{guarantee="G8"}`

// WithMetrics registers generation, isolation and violations of G8 in a set.
func WithMetrics(set *metrics.Set) Option {
	return func(s *Source) {
		s.violations = set.GetOrCreateCounter(violationsName)
		set.NewGauge("shallotring_configuration_generation", func() float64 { return float64(s.Generation()) })
		set.NewGauge("shallotring_configuration_isolated", func() float64 { return flag(s.Isolated()) })
		set.NewGauge("shallotring_configuration_incomplete", func() float64 { return flag(s.Failure() != "") })
	}
}

func flag(set bool) float64 {
	if set {
		return 1
	}
	return 0
}
