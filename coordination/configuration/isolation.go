package configuration

import (
	"context"
	"sync"
	"time"

	"shallotring.dev/coordination/registry"
)

const (
	// isolationTime is the time without the service and without most of the last known peers after which a process
	// is isolated.
	isolationTime = 3 * time.Second
	// confirmTime is the age up to which a contact with the service is passed on to peers. It is shorter than
	// isolationTime so that in an outage the peers report the loss before anybody counts itself as isolated.
	confirmTime = 2 * time.Second
	// missTime is the age of the contact from which a process that checks the service itself asks its peers. It leaves them
	// two seconds to answer before the process counts as isolated; with confirmTime a silent service left too few.
	missTime = time.Second
	// probeInterval is the time between two checks of the contact.
	probeInterval = 500 * time.Millisecond
)

// emptyPrefix selects no key: reading it shows that the service answers and transfers nothing.
const emptyPrefix = registry.ConfigPrefix + "~"

// Isolated reports whether the process must refuse new work, because it cannot tell an outage of the service from its
// own partition. A process that knows neither entry nor agent is isolated as soon as the service is lost.
func (s *Source) Isolated() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isolatedLocked()
}

func (s *Source) isolatedLocked() bool {
	now := s.clock.Now()
	return now.Sub(s.contact) > isolationTime && now.Sub(s.agreed) > isolationTime
}

func (s *Source) touch(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.After(s.contact) {
		s.contact = at
	}
}

// stale reports whether the contact is too old to be passed on.
func (s *Source) stale() bool { return s.contactAge() > confirmTime }

func (s *Source) contactAge() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clock.Since(s.contact)
}

// check renews the contact and asks the peers if there is none.
func (s *Source) check(ctx context.Context) {
	s.checkService(ctx)
	s.checkPeers(ctx)
}

// checkService renews the contact of a process that reads the service.
func (s *Source) checkService(ctx context.Context) {
	if !s.watches() {
		return
	}
	sent := s.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	if _, _, err := s.store.List(ctx, emptyPrefix); err == nil {
		s.touch(sent)
	}
}

func (s *Source) checkPeers(ctx context.Context) {
	limit := confirmTime
	if s.watches() {
		limit = missTime
	}
	if s.contactAge() > limit {
		s.probe(ctx)
	}
}

// probe asks several of the last known peers, entries first, whether they have lost the service too; entries are also
// asked for changes. It returns the number of entries asked and of those that answered with a configuration.
func (s *Source) probe(ctx context.Context) (asked, loaded int) {
	entries := s.sample()
	agents := spread(s.witnesses(), maxProbePeers-len(entries))
	sent := s.clock.Now()
	var (
		wg   sync.WaitGroup
		mu   sync.Mutex
		lost int
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
				loaded++
			}
			if !a.Confirmed {
				lost++
			}
		})
	}
	for _, w := range agents {
		wg.Go(func() {
			if !w.lost(ctx) {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			lost++
		})
	}
	wg.Wait()
	if 2*lost > len(entries)+len(agents) {
		s.mu.Lock()
		s.agreed = sent
		s.mu.Unlock()
	}
	return len(entries), loaded
}

// sample returns peers spread evenly over the list, so that all zones are asked. Where it begins depends on the process:
// processes that start together must not all ask the same few entries for the whole configuration.
func (s *Source) sample() (list []Peer) {
	all := s.others()
	if len(all) <= maxProbePeers {
		return all
	}
	first := int(s.weight(all[0]) % uint32(len(all)))
	for i := range maxProbePeers {
		list = append(list, all[(first+i*len(all)/maxProbePeers)%len(all)])
	}
	return list
}
