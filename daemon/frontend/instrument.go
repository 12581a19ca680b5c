package frontend

import "github.com/VictoriaMetrics/metrics"

// instruments are the counters and histograms of a frontend.
type instruments struct {
	set                  *metrics.Set
	requests             *metrics.Counter
	retries              *metrics.Counter
	refusedRequests      *metrics.Counter
	unknownOutcomes      *metrics.Counter
	interruptedResponses *metrics.Counter
	abandonedRequests    *metrics.Counter
	// unverifiedResponses counts responses that are not forwarded because their status or headers do not confirm that they
	// belong to the request.
	unverifiedResponses *metrics.Counter
	// leavingEndpoints counts endpoints that announced in a response or to their agent that they are leaving, pauses the responses
	// that ask for time without requests.
	leavingEndpoints *metrics.Counter
	pauses           *metrics.Counter
	// doubtedEndpoints counts the endpoints that went missing from discovery while others stayed.
	doubtedEndpoints *metrics.Counter
	// limitChanges counts the limits that endpoints began, changed or ceased to name, invalidLimits the responses whose limit cannot be read,
	// and limitedSends the requests to endpoints that had named a limit.
	limitChanges  *metrics.Counter
	invalidLimits *metrics.Counter
	limitedSends  *metrics.Counter
	// limitDenials counts the requests that went elsewhere or were refused since no send to an endpoint with a limit was due.
	limitDenials *metrics.Counter
	// overloadRefusals counts the requests that were refused since there was too little room for them.
	overloadRefusals *metrics.Counter
	// longPauses counts the streams with a pause that is longer than their callers accept.
	longPauses *metrics.Counter
	// prefetches counts the adapters that were requested ahead of their requests.
	prefetches *metrics.Counter
	// interruptedRequests counts requests that were reported to agents because their connections to engines ended.
	interruptedRequests *metrics.Counter
	// interruptedByEnds counts requests that the end of their endpoint interrupted.
	interruptedByEnds *metrics.Counter
	// suspectedRequests and quarantinedRequests are those known now, and probations the sends of requests in quarantine.
	suspectedRequests   *metrics.Gauge
	quarantinedRequests *metrics.Gauge
	probations          *metrics.Counter
	quarantineRefusals  *metrics.Counter
	quarantinedParts    *metrics.Gauge
	// unknownKeys counts the refusals of keys that no tenant holds, unconfirmedKeys those since the configuration was not confirmed recently.
	unknownKeys          *metrics.Counter
	unconfirmedKeys      *metrics.Counter
	firstByte            *metrics.Histogram
	loadWaits            *metrics.Histogram
	configurationVersion *metrics.Gauge
}

func newInstruments(set *metrics.Set) *instruments {
	return &instruments{
		set:                  set,
		requests:             set.GetOrCreateCounter("shallotring_frontend_requests_total"),
		retries:              set.GetOrCreateCounter("shallotring_frontend_repeats_total"),
		refusedRequests:      set.GetOrCreateCounter("shallotring_frontend_refused_total"),
		unknownOutcomes:      set.GetOrCreateCounter("shallotring_frontend_unknown_total"),
		interruptedResponses: set.GetOrCreateCounter("shallotring_frontend_broken_answers_total"),
		abandonedRequests:    set.GetOrCreateCounter("shallotring_frontend_abandoned_total"),
		unverifiedResponses:  set.GetOrCreateCounter("shallotring_frontend_foreign_answers_total"),
		leavingEndpoints:     set.GetOrCreateCounter("shallotring_frontend_endpoints_leaving_total"),
		pauses:               set.GetOrCreateCounter("shallotring_frontend_endpoint_pauses_total"),
		doubtedEndpoints:     set.GetOrCreateCounter("shallotring_frontend_endpoints_doubted_total"),
		limitChanges:         set.GetOrCreateCounter("shallotring_frontend_limit_changes_total"),
		invalidLimits:        set.GetOrCreateCounter("shallotring_frontend_invalid_limits_total"),
		limitedSends:         set.GetOrCreateCounter("shallotring_frontend_limited_sends_total"),
		limitDenials:         set.GetOrCreateCounter("shallotring_frontend_limit_denials_total"),
		longPauses:           set.GetOrCreateCounter("shallotring_frontend_long_pauses_total"),
		overloadRefusals:     set.GetOrCreateCounter("shallotring_frontend_overload_refusals_total"),
		prefetches:           set.GetOrCreateCounter("shallotring_frontend_prefetches_total"),
		interruptedRequests:  set.GetOrCreateCounter("shallotring_frontend_interrupted_requests_total"),
		interruptedByEnds:    set.GetOrCreateCounter("shallotring_frontend_interrupted_by_ends_total"),
		suspectedRequests:    set.GetOrCreateGauge("shallotring_frontend_suspected_requests", nil),
		quarantinedRequests:  set.GetOrCreateGauge("shallotring_frontend_quarantined_requests", nil),
		probations:           set.GetOrCreateCounter("shallotring_frontend_probations_total"),
		quarantineRefusals:   set.GetOrCreateCounter("shallotring_frontend_quarantine_refusals_total"),
		quarantinedParts:     set.GetOrCreateGauge("shallotring_frontend_quarantined_parts", nil),
		unknownKeys:          set.GetOrCreateCounter("shallotring_frontend_unknown_keys_total"),
		unconfirmedKeys:      set.GetOrCreateCounter("shallotring_frontend_unconfirmed_keys_total"),
		firstByte:            set.GetOrCreateHistogram("shallotring_frontend_first_byte_seconds"),
		loadWaits:            set.GetOrCreateHistogram("shallotring_frontend_load_wait_seconds"),
		configurationVersion: set.GetOrCreateGauge("shallotring_frontend_configuration_version", nil),
	}
}
