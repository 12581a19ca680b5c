package configuration

import (
	"context"
	"sync"
	"time"

	"shallotring.dev/coordination/registry"
)

const (
	// isolationTimeout is the time without contact with the service and with most of the last known peers after which a
	// process is isolated.
	isolationTimeout = 3 * time.Second
	// maxConfirmedContactAge is the age up to which the last contact with the service is reported to peers as confirmed.
	// It is shorter than isolationTimeout so that in an outage the peers report the loss of the service before any
	// process counts itself as isolated.
	maxConfirmedContactAge = 2 * time.Second
	// watcherProbeAge is the contact age from which a process that checks the service itself probes its peers. It
	// leaves them two seconds to respond before the process counts as isolated. With maxConfirmedContactAge they would
	// have only one, which is too short if the service does not respond.
	watcherProbeAge = time.Second
	// probeInterval is the time between two checks of the contact with the service.
	probeInterval = 500 * time.Millisecond
)

// emptyPrefix matches no key: reading it shows that the service responds, and transfers nothing.
const emptyPrefix = registry.ConfigPrefix + "~"

// Isolated reports whether the process must refuse new work, because it cannot tell an outage of the service from a
// partition that cuts off only itself. A process that knows neither an entry nor an agent is isolated once its own
// contact with the service is older than isolationTimeout.
func (s *Source) Isolated() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isolatedLocked()
}

func (s *Source) isolatedLocked() bool {
	now := s.clock.Now()
	return now.Sub(s.lastContact) > isolationTimeout && now.Sub(s.outageAgreedAt) > isolationTimeout
}

func (s *Source) recordContact(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.After(s.lastContact) {
		s.lastContact = at
	}
}

// contactIsStale reports whether the last contact with the service is too old to be reported to peers as confirmed.
func (s *Source) contactIsStale() bool { return s.contactAge() > maxConfirmedContactAge }

func (s *Source) contactAge() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clock.Since(s.lastContact)
}

// checkContact renews the contact with the service and probes the peers if it is too old.
func (s *Source) checkContact(ctx context.Context) {
	s.checkService(ctx)
	s.checkPeers(ctx)
}

// checkService renews the contact of a process that watches the service.
func (s *Source) checkService(ctx context.Context) {
	if !s.shouldWatch() {
		return
	}
	sent := s.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	if _, _, err := s.store.List(ctx, emptyPrefix); err == nil {
		s.recordContact(sent)
	}
}

func (s *Source) checkPeers(ctx context.Context) {
	limit := maxConfirmedContactAge
	if s.shouldWatch() {
		limit = watcherProbeAge
	}
	if s.contactAge() > limit {
		s.probe(ctx)
	}
}

// probe polls several of the last known peers, entries first, for whether they have lost contact with the service too;
// entries also return changes. It returns the number of entries polled and of those that responded with a
// configuration.
func (s *Source) probe(ctx context.Context) (polled, configured int) {
	entries := s.samplePeers()
	agents := evenSample(s.witnesses(), maxProbePeers-len(entries))
	sent := s.clock.Now()
	var (
		wg          sync.WaitGroup
		mu          sync.Mutex
		lossReports int
	)
	for _, p := range entries {
		wg.Go(func() {
			a, err := s.poll(ctx, p, 0)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			if a.Generation > 0 {
				configured++
			}
			if !a.Confirmed {
				lossReports++
			}
		})
	}
	for _, w := range agents {
		wg.Go(func() {
			if !w.reportsServiceLoss(ctx) {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			lossReports++
		})
	}
	wg.Wait()
	if 2*lossReports > len(entries)+len(agents) {
		s.mu.Lock()
		s.outageAgreedAt = sent
		s.mu.Unlock()
	}
	return len(entries), configured
}

// samplePeers returns peers spread evenly over the list, so that all zones are covered. The first one depends on the
// process: processes that start together must not all request the whole configuration from the same few entries.
func (s *Source) samplePeers() (list []Peer) {
	all := s.otherPeers()
	if len(all) <= maxProbePeers {
		return all
	}
	first := int(s.peerHash(all[0]) % uint32(len(all)))
	for i := range maxProbePeers {
		list = append(list, all[(first+i*len(all)/maxProbePeers)%len(all)])
	}
	return list
}
