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
	// retryWait is the wait after a failed read, watch or round of polls.
	retryWait = 500 * time.Millisecond
	// watchIdle ends a watch that reports neither changes nor progress; it is opened again where it stopped.
	watchIdle = 3 * time.Second
	// fallbackInterval bounds the full reads of a process whose peers have all lost the service.
	fallbackInterval = 5 * time.Second
)

// errFollow ends the watch of a process that is no longer one of the watchers.
var errFollow = eris.New("other entries of the zone watch the service")

// Run keeps the configuration up to date until ctx ends.
func (s *Source) Run(ctx context.Context) (err error) {
	// The two checks run apart: while the service is silent, its check lasts as long as the time left to ask the peers.
	every := func(check func(context.Context), tag string) quartz.Waiter {
		return s.clock.TickerFunc(ctx, probeInterval, func() error {
			check(ctx)
			return nil
		}, "configuration", tag)
	}
	service, probes := every(s.checkService, "contact"), every(s.checkPeers, "probe")
	for ctx.Err() == nil {
		if err := s.follow(ctx); err != nil && ctx.Err() == nil {
			s.pause(ctx, retryWait)
		}
	}
	_ = service.Wait()
	_ = probes.Wait()
	return ctx.Err()
}

func (s *Source) follow(ctx context.Context) (err error) {
	if s.watches() {
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
	if !s.isDirect() {
		if err = s.readAll(ctx); err != nil {
			s.startFromPeers(ctx)
			return err
		}
	}
	err = s.watch(ctx)
	if eris.Is(err, errFollow) {
		return nil
	}
	if eris.Is(err, keyvalue.ErrCompacted) {
		// The changes since the generation are gone from the history; only a full read shows them.
		s.setDirect(false)
		return s.readAll(ctx)
	}
	return err
}

func (s *Source) isDirect() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.direct
}

func (s *Source) setDirect(d bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.direct = d
}

// readAll reads every shard from the service.
func (s *Source) readAll(ctx context.Context) (err error) {
	defer func() { err = eris.Wrap(err, "read the configuration") }()
	sent := s.clock.Now()
	records, at, err := s.store.List(ctx, registry.ConfigPrefix)
	if err != nil {
		return err
	}
	var list []stored
	for _, r := range records {
		if x, ok := shardOf(r); ok {
			list = append(list, x)
		}
	}
	s.apply(list, at, "from the key-value service")
	s.setDirect(true)
	s.touch(sent)
	return nil
}

func shardOf(r keyvalue.Record) (x stored, ok bool) {
	number, err := strconv.ParseUint(strings.TrimPrefix(r.Key, registry.ConfigPrefix), 16, 8)
	if err != nil {
		return stored{}, false
	}
	return stored{number: int(number), revision: r.ModRevision, value: r.Value}, true
}

// watch applies changes after the generation as the service sends them.
func (s *Source) watch(ctx context.Context) (err error) {
	defer func() { err = eris.Wrap(err, "watch the configuration") }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idle := s.clock.AfterFunc(watchIdle, cancel, "configuration", "watch")
	defer idle.Stop()
	return s.store.Watch(ctx, registry.ConfigPrefix, s.position(), func(changes []keyvalue.Change, at ident.Revision) error {
		idle.Reset(watchIdle)
		s.applyChanges(changes, at)
		// A process that knew no entry when it started would otherwise watch for as long as the service answers.
		if !s.watches() {
			return errFollow
		}
		return nil
	})
}

// position returns the revision up to which each change has been seen, in force or failing.
func (s *Source) position() ident.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.generation
}

func (s *Source) applyChanges(changes []keyvalue.Change, at ident.Revision) {
	var list []stored
	for _, c := range changes {
		// Shards are emptied, never deleted; a deleted key keeps what is in force.
		if x, ok := shardOf(c.Record); ok && !c.Deleted {
			list = append(list, x)
		}
	}
	s.apply(list, at, "from the key-value service")
}

// followPeers polls one entry that watches the service, the next one if it fails or has lost the service.
func (s *Source) followPeers(ctx context.Context) (err error) {
	s.setDirect(false)
	if err = s.start(ctx); err != nil {
		return err
	}
	for _, p := range s.sources() {
		for ctx.Err() == nil && !s.watches() {
			a, err := s.poll(ctx, p, pollWait)
			if err != nil || !a.Confirmed {
				break
			}
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return s.fallback(ctx)
}

// start gets a first configuration, from most of the peers or else from the service.
func (s *Source) start(ctx context.Context) (err error) {
	s.startFromPeers(ctx)
	if s.Generation() > 0 {
		return nil
	}
	return s.readAll(ctx)
}

// fallback reads the service directly if no peer is in contact with it.
func (s *Source) fallback(ctx context.Context) (err error) {
	now := s.clock.Now()
	s.mu.Lock()
	due := now.Sub(s.lastFallback) >= fallbackInterval
	if due {
		s.lastFallback = now
	}
	s.mu.Unlock()
	if due && s.stale() {
		if err = s.readAll(ctx); err == nil {
			return nil
		}
	}
	return eris.New("no peer is in contact with the key-value service")
}

// startFromPeers takes the newest configuration among several peers while the service is down.
// Most of the known peers must answer, because a single peer may have been cut off before the last accepted change.
// A peer that has no configuration itself does not count.
func (s *Source) startFromPeers(ctx context.Context) {
	if s.Generation() > 0 {
		return
	}
	staging := New(s.identity, s.store, WithClock(s.clock), WithPeers(s.peers), WithWatchers(s.watchers))
	staging.staging = true
	asked, loaded := staging.probe(ctx)
	if 2*loaded > asked {
		s.adopt(staging, loaded)
	}
}

func (s *Source) adopt(staging *Source, peers int) {
	var list []stored
	for number := range staging.values {
		sh, r := staging.Current().Shard(number)
		if sh != nil {
			list = append(list, stored{number: number, revision: r, value: staging.values[number]})
		}
	}
	s.apply(list, staging.Generation(), "started from the newest of "+strconv.Itoa(peers)+" peers, not from the key-value service")
	s.touch(staging.contact)
	s.mu.Lock()
	defer s.mu.Unlock()
	if staging.agreed.After(s.agreed) {
		s.agreed = staging.agreed
	}
}

// Refresh returns once every change up to the revision is in force; it asks peers first and then the service.
func (s *Source) Refresh(ctx context.Context, revision ident.Revision) (err error) {
	defer func() { err = eris.Wrapf(err, "refresh the configuration to revision %d", revision) }()
	if s.Generation() >= revision {
		return nil
	}
	select {
	case s.fetching <- struct{}{}:
		defer func() { <-s.fetching }()
	case <-ctx.Done():
		return ctx.Err()
	}
	if !s.watches() {
		for _, p := range s.sources() {
			if s.Generation() >= revision {
				return nil
			}
			// A peer that fails is followed by the next one and at last by the service.
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
		return eris.Errorf("the key-value service is at %d: %s", g, s.Failure())
	}
	return nil
}
