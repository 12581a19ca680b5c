package configuration

import "github.com/VictoriaMetrics/metrics"

var violations = metrics.GetOrCreateCounter(`shallotring_invariant_violations_total{Guarantee="G8"}`)
