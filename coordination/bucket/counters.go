package bucket

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

type counters struct {
	writes, writtenBytes, reads, takeovers, releases, violations, forwards *metrics.Counter
	refusals                                                               map[string]*metrics.Counter
}

func newCounters(s *metrics.Set) counters {
	c := counters{
		writes:       s.NewCounter("shallotring_ledger_writes_total"),
		writtenBytes: s.NewCounter("shallotring_ledger_written_bytes_total"),
		reads:        s.NewCounter("shallotring_ledger_reads_total"),
		takeovers:    s.NewCounter("shallotring_ledger_takeovers_total"),
		releases:     s.NewCounter("shallotring_ledger_releases_total"),
		violations:   s.GetOrCreateCounter(`shallotring_invariant_violations_total{guarantee="G5"}`),
		forwards:     s.NewCounter("shallotring_ledger_forwards_total"),
		refusals:     map[string]*metrics.Counter{},
	}
	for _, r := range []string{"unavailable", "in-progress", "unknown", "mismatch", "expired"} {
		c.refusals[r] = s.NewCounter(fmt.Sprintf("shallotring_ledger_refusals_total{reason=%q}", r))
	}
	return c
}
