package frontend

import "github.com/VictoriaMetrics/metrics"

// instruments are the counters and histograms of a frontend.
type instruments struct {
	set       *metrics.Set
	requests  *metrics.Counter
	repeats   *metrics.Counter
	refused   *metrics.Counter
	unknown   *metrics.Counter
	broken    *metrics.Counter
	abandoned *metrics.Counter
	foreign   *metrics.Counter
	first     *metrics.Histogram
	loads     *metrics.Histogram
	version   *metrics.Gauge
}

func newInstruments(set *metrics.Set) *instruments {
	return &instruments{
		set:       set,
		requests:  set.GetOrCreateCounter("shallotring_frontend_requests_total"),
		repeats:   set.GetOrCreateCounter("shallotring_frontend_repeats_total"),
		refused:   set.GetOrCreateCounter("shallotring_frontend_refused_total"),
		unknown:   set.GetOrCreateCounter("shallotring_frontend_unknown_total"),
		broken:    set.GetOrCreateCounter("shallotring_frontend_broken_answers_total"),
		abandoned: set.GetOrCreateCounter("shallotring_frontend_abandoned_total"),
		foreign:   set.GetOrCreateCounter("shallotring_frontend_foreign_answers_total"),
		first:     set.GetOrCreateHistogram("shallotring_frontend_first_byte_seconds"),
		loads:     set.GetOrCreateHistogram("shallotring_frontend_load_wait_seconds"),
		version:   set.GetOrCreateGauge("shallotring_frontend_configuration_version", nil),
	}
}
