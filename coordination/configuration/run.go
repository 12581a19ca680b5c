package configuration

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/coder/quartz"
	"github.com/rotisserie/eris"

	"shallotring.dev/coordination/registry"
	"shallotring.dev/protocol/keyvalue"
	"shallotring.dev/state/ident"
)

const (
	// retryInterval is the wait after following the service or the peers has failed.
	retryInterval = 500 * time.Millisecond
	// fallbackInterval is the shortest time between two full reads by a process whose peers have all lost the service.
	fallbackInterval = 5 * time.Second
)

// errNotWatcher ends the watch of a process that is no longer one of the watchers.
var errNotWatcher = eris.New("other entries of the zone watch the service")

// Run keeps the configuration up to date until ctx ends.
func (s *Source) Run(ctx context.Context) (err error) {
	// The two checks run independently: the check of a service that does not respond waits until its timeout, which
	// would leave too little time to probe the peers.
	runEvery := func(check func(context.Context), tag string) quartz.Waiter {
		return s.clock.TickerFunc(ctx, probeInterval, func() error {
			check(ctx)
			return nil
		}, "configuration", tag)
	}
	service, probes := runEvery(s.checkService, "contact"), runEvery(s.checkPeers, "probe")
	for ctx.Err() == nil {
		if err := s.follow(ctx); err != nil && ctx.Err() == nil {
			s.pause(ctx, retryInterval)
		}
	}
	_ = service.Wait()
	_ = probes.Wait()
	return ctx.Err()
}

func (s *Source) follow(ctx context.Context) (err error) {
	if s.shouldWatch() {
		return s.followService(ctx)
	}
	return s.followPeers(ctx)
}

func (s *Source) pause(ctx context.Context, d time.Duration) {
	t := s.clock.NewTimer(d, "configuration", "pause")
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// followService reads all shards once and then watches; it returns when the watch ends.
func (s *Source) followService(ctx context.Context) (err error) {
	if !s.isSynced() {
		if err = s.readAll(ctx); err != nil {
			s.startFromPeers(ctx)
			return err
		}
	}
	err = s.watch(ctx)
	if eris.Is(err, errNotWatcher) {
		return nil
	}
	if eris.Is(err, keyvalue.ErrCompacted) {
		// The changes since the generation have been compacted; only a full read shows them.
		s.setSynced(false)
		return s.readAll(ctx)
	}
	return err
}

func (s *Source) isSynced() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.synced
}

func (s *Source) setSynced(synced bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.synced = synced
}

// readAll reads every shard from the service.
func (s *Source) readAll(ctx context.Context) (err error) {
	defer func() { err = eris.Wrap(err, "read the configuration") }()
	sent := s.clock.Now()
	records, at, err := s.store.List(ctx, registry.ConfigPrefix)
	if err != nil {
		return err
	}
	var list []storedShard
	for _, r := range records {
		if x, ok := parseShard(r); ok {
			list = append(list, x)
		}
	}
	s.apply(list, at, "from the key-value service")
	s.setSynced(true)
	s.recordContact(sent)
	return nil
}

func parseShard(r keyvalue.Record) (x storedShard, ok bool) {
	number, err := strconv.ParseUint(strings.TrimPrefix(r.Key, registry.ConfigPrefix), 16, 8)
	if err != nil {
		return storedShard{}, false
	}
	return storedShard{number: int(number), revision: r.ModRevision, value: r.Value}, true
}

// watch applies the changes after watchPosition as the service sends them.
func (s *Source) watch(ctx context.Context) (err error) {
	defer func() { err = eris.Wrap(err, "watch the configuration") }()
	return keyvalue.WatchUntilIdle(ctx, s.store, s.clock, registry.ConfigPrefix, s.watchPosition(), func(changes []keyvalue.Change, at ident.Revision) error {
		s.applyChanges(changes, at)
		// A process that knew no entry when it started would otherwise watch for as long as the service responds.
		if !s.shouldWatch() {
			return errNotWatcher
		}
		return nil
	}, "configuration", "watch")
}

// watchPosition returns the revision up to which every change was received, in force or failing to decode.
func (s *Source) watchPosition() ident.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.generation
}

func (s *Source) applyChanges(changes []keyvalue.Change, at ident.Revision) {
	var list []storedShard
	for _, c := range changes {
		// Shards are emptied, never deleted; if a key is deleted all the same, its shard stays in force.
		if x, ok := parseShard(c.Record); ok && !c.Deleted {
			list = append(list, x)
		}
	}
	s.apply(list, at, "from the key-value service")
}

// followPeers polls one entry that watches the service, and the next one if that entry fails or has lost contact with
// the service.
func (s *Source) followPeers(ctx context.Context) (err error) {
	s.setSynced(false)
	if err = s.loadInitial(ctx); err != nil {
		return err
	}
	for _, p := range s.watchingPeers() {
		for ctx.Err() == nil && !s.shouldWatch() {
			a, err := s.poll(ctx, p, pollWait)
			if err != nil || !a.Confirmed {
				break
			}
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return s.fallbackRead(ctx)
}

// loadInitial loads a first configuration, from most of the peers or else from the service.
func (s *Source) loadInitial(ctx context.Context) (err error) {
	s.startFromPeers(ctx)
	if s.Generation() > 0 {
		return nil
	}
	return s.readAll(ctx)
}

// fallbackRead reads the service directly if no peer is in contact with it, at most once per fallbackInterval.
func (s *Source) fallbackRead(ctx context.Context) (err error) {
	now := s.clock.Now()
	s.mu.Lock()
	due := now.Sub(s.lastFallback) >= fallbackInterval
	if due {
		s.lastFallback = now
	}
	s.mu.Unlock()
	if due && s.contactIsStale() {
		if err = s.readAll(ctx); err == nil {
			return nil
		}
	}
	return eris.New("no peer is in contact with the key-value service")
}

// startFromPeers applies the newest configuration among several peers while the service is down. Most of the polled
// peers must respond, because a single peer may have lost contact with the service before the last accepted change. A
// peer that has no configuration itself does not count.
func (s *Source) startFromPeers(ctx context.Context) {
	if s.Generation() > 0 {
		return
	}
	staging := New(s.identity, s.store, WithClock(s.clock), WithPeers(s.peers), WithWatchers(s.watchersPerZone))
	staging.staging = true
	polled, configured := staging.probe(ctx)
	if 2*configured > polled {
		s.applyStaged(staging, configured)
	}
}

func (s *Source) applyStaged(staging *Source, peers int) {
	var list []storedShard
	for number := range staging.values {
		sh, r := staging.Current().Shard(number)
		if sh != nil {
			list = append(list, storedShard{number: number, revision: r, value: staging.values[number]})
		}
	}
	s.apply(list, staging.Generation(), "started from the newest of "+strconv.Itoa(peers)+" peers, not from the key-value service")
	s.recordContact(staging.lastContact)
	s.mu.Lock()
	defer s.mu.Unlock()
	if staging.outageAgreedAt.After(s.outageAgreedAt) {
		s.outageAgreedAt = staging.outageAgreedAt
	}
}

// Refresh returns once every change up to the revision is in force; it polls peers first and then reads the service.
func (s *Source) Refresh(ctx context.Context, revision ident.Revision) (err error) {
	defer func() { err = eris.Wrapf(err, "refresh the configuration to revision %d", revision) }()
	if s.Generation() >= revision {
		return nil
	}
	select {
	case s.refreshing <- struct{}{}:
		defer func() { <-s.refreshing }()
	case <-ctx.Done():
		return ctx.Err()
	}
	if !s.shouldWatch() {
		for _, p := range s.watchingPeers() {
			if s.Generation() >= revision {
				return nil
			}
			// If a peer fails, the next one is polled, and finally the service is read.
			_, _ = s.poll(ctx, p, 0)
		}
	}
	if s.Generation() >= revision {
		return nil
	}
	if err = s.readAll(ctx); err != nil {
		return err
	}
	if g := s.Generation(); g < revision {
		return eris.Errorf("the generation is %d after a read of the key-value service: %s", g, s.Failure())
	}
	return nil
}
