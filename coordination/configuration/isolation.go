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
	// probeInterval is the time between two checks of the contact.
	probeInterval = 500 * time.Millisecond
)

// emptyPrefix selects no key: reading it shows that the service answers and transfers nothing.
const emptyPrefix = registry.ConfigPrefix + "~"

// Isolated reports whether the process must refuse new work, because it cannot tell an outage of the service from its
// own partition. A process that knows no peer is isolated as soon as the service is lost.
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

// stale reports whether the contact is old enough to ask other peers.
func (s *Source) stale() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clock.Since(s.contact) > confirmTime
}

// check renews the contact of a process that reads the service, and asks the peers if there is none.
func (s *Source) check(ctx context.Context) {
	if s.watches() {
		sent := s.clock.Now()
		call, cancel := context.WithTimeout(ctx, peerTimeout)
		_, _, err := s.store.List(call, emptyPrefix)
		cancel()
		if err == nil {
			s.touch(sent)
		}
	}
	if s.stale() {
		s.probe(ctx)
	}
}

// probe asks several of the last known peers for changes and whether they have lost the service too.
// It returns the number of peers asked and of those that answered with a configuration.
func (s *Source) probe(ctx context.Context) (asked, loaded int) {
	list := s.sample()
	sent := s.clock.Now()
	var (
		wg   sync.WaitGroup
		mu   sync.Mutex
		lost int
	)
	for _, p := range list {
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
	wg.Wait()
	if len(list) > 0 && 2*lost > len(list) {
		s.mu.Lock()
		s.agreed = sent
		s.mu.Unlock()
	}
	return len(list), loaded
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
