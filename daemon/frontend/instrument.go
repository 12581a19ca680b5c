package frontend

import "github.com/VictoriaMetrics/metrics"

// instruments are the counters and histograms of a frontend.
type instruments struct {
	set                  *metrics.Set
	requests             *metrics.Counter
	retries              *metrics.Counter
	refused              *metrics.Counter
	unknown              *metrics.Counter
	interruptedResponses *metrics.Counter
	abandoned            *metrics.Counter
	unverifiedResponses  *metrics.Counter
	firstByte            *metrics.Histogram
	loadWaits            *metrics.Histogram
	configuration        *metrics.Gauge
}

func newInstruments(set *metrics.Set) *instruments {
	return &instruments{
		set:                  set,
		requests:             set.GetOrCreateCounter("shallotring_frontend_requests_total"),
		retries:              set.GetOrCreateCounter("shallotring_frontend_repeats_total"),
		refused:              set.GetOrCreateCounter("shallotring_frontend_refused_total"),
		unknown:              set.GetOrCreateCounter("shallotring_frontend_unknown_total"),
		interruptedResponses: set.GetOrCreateCounter("shallotring_frontend_broken_answers_total"),
		abandoned:            set.GetOrCreateCounter("shallotring_frontend_abandoned_total"),
		unverifiedResponses:  set.GetOrCreateCounter("shallotring_frontend_foreign_answers_total"),
		firstByte:            set.GetOrCreateHistogram("shallotring_frontend_first_byte_seconds"),
		loadWaits:            set.GetOrCreateHistogram("shallotring_frontend_load_wait_seconds"),
		configuration:        set.GetOrCreateGauge("shallotring_frontend_configuration_version", nil),
	}
}
