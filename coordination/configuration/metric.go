package configuration

import "github.com/VictoriaMetrics/metrics"

// violationsMetric counts violations of guarantee G8: changes that would have returned a shard to an older revision.
const violationsMetric = `shallotring_invariant_violations_total{guarantee="G8"}`

// WithMetrics registers the gauges of the source and the counter of violations of guarantee G8 in a set.
func WithMetrics(set *metrics.Set) Option {
	return func(s *Source) {
		s.violations = set.GetOrCreateCounter(violationsMetric)
		set.NewGauge("shallotring_configuration_generation", func() float64 { return float64(s.Generation()) })
		set.NewGauge("shallotring_configuration_isolated", func() float64 { return gaugeValue(s.Isolated()) })
		set.NewGauge("shallotring_configuration_incomplete", func() float64 { return gaugeValue(s.Failure() != "") })
	}
}

func gaugeValue(set bool) float64 {
	if set {
		return 1
	}
	return 0
}
