package configuration

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/coder/quartz"
	"github.com/rotisserie/eris"

	"shallotring.dev/coordination/registry"
	"shallotring.dev/protocol/keyvalue"
	"shallotring.dev/protocol/wire"
	standin "shallotring.dev/standin/keyvalue"
	"shallotring.dev/state/ident"
	"shallotring.dev/transport/timeline"
)

func callerShare(s *Source, name string) float64 {
	for _, c := range s.Current().Callers() {
		if string(c.Name) == name {
			return c.Share
		}
	}
	return -1
}

// TestStaleShardIsNotApplied guards against a stale peer or a late response that reverts a shard to an older revision.
func TestStaleShardIsNotApplied(t *testing.T) {
	w := newFixture(t)
	l := &link{fixture: w}
	stale := New(entryIdentity("stale", "z"), l, WithClock(w.clock))
	fresh := New(entryIdentity("fresh", "z"), l, WithClock(w.clock))
	w.putCaller(t, "a", 1)
	if err := stale.readAll(t.Context()); err != nil {
		t.Fatal(err)
	}
	at := w.putCaller(t, "a", 2)
	if err := fresh.readAll(t.Context()); err != nil {
		t.Fatal(err)
	}
	number := callerName("a").Shard()
	_, old := stale.Current().Shard(number)
	fresh.apply([]storedShard{{number: number, revision: old, value: stale.values[number]}}, old, "test")
	if fresh.Current().ResourceRevision(callerName("a")) != at || callerShare(fresh, "a") != 2 || fresh.Generation() != at {
		t.Errorf("share %v at generation %d, want 2 at %d", callerShare(fresh, "a"), fresh.Generation(), at)
	}
}

// TestWatchGap guards against a change that is missed because it was compacted while no watch was open.
func TestWatchGap(t *testing.T) {
	w := newFixture(t)
	s := New(entryIdentity("a", "z"), &link{fixture: w}, WithClock(w.clock))
	w.putCaller(t, "a", 1)
	if err := s.followService(t.Context()); !eris.Is(err, errCaughtUp) {
		t.Fatal(err)
	}
	w.putCaller(t, "a", 2)
	w.putCaller(t, "b", 1)
	w.service.CompactAndCutWatches()
	at := w.putCaller(t, "c", 1)
	if err := s.followService(t.Context()); err != nil {
		t.Fatal(err)
	}
	if callerShare(s, "a") != 2 || callerShare(s, "b") != 1 || s.Generation() != at {
		t.Errorf("a=%v b=%v generation %d, want 2, 1, %d", callerShare(s, "a"), callerShare(s, "b"), s.Generation(), at)
	}
}

// TestMalformedShard guards against a process that reports a revision as in force although it could not decode a shard
// of it.
func TestMalformedShard(t *testing.T) {
	w := newFixture(t)
	good := w.putCaller(t, "a", 1)
	key := registry.ConfigKey(callerName("a").Shard())
	bad, ok, err := w.client.CompareAndSwap(t.Context(), keyvalue.Swap{Key: key, Expect: good, Value: []byte("{")})
	if err != nil || !ok {
		t.Fatal(ok, err)
	}
	s := New(entryIdentity("a", "z"), &link{fixture: w}, WithClock(w.clock))
	if err = s.readAll(t.Context()); err != nil {
		t.Fatal(err)
	}
	if s.Generation() >= bad || s.Failure() == "" {
		t.Errorf("generation %d, failure %q", s.Generation(), s.Failure())
	}
	if err = s.Refresh(t.Context(), bad); err == nil {
		t.Error("refresh to the malformed revision succeeded")
	}
	if _, ok, err = w.client.CompareAndSwap(t.Context(), keyvalue.Swap{Key: key, Expect: bad, Value: []byte("{}")}); err != nil || !ok {
		t.Fatal(ok, err)
	}
	if err = s.watch(t.Context()); !eris.Is(err, errCaughtUp) {
		t.Fatal(err)
	}
	if s.Generation() <= bad || s.Failure() != "" {
		t.Errorf("after the repair: generation %d, failure %q", s.Generation(), s.Failure())
	}
}

// fixedPeer returns the same response to every call; nil means none.
type fixedPeer struct {
	response *wire.ChangesResponse
}

func (p fixedPeer) Changes(context.Context, *wire.ChangesRequest) (*wire.ChangesResponse, error) {
	if p.response == nil {
		return nil, eris.New("no response")
	}
	return p.response, nil
}

func fixedPeers(list ...*wire.ChangesResponse) func() []Peer {
	var peers []Peer
	for i, a := range list {
		id := ident.Process("peer-" + string(rune('0'+i)))
		peers = append(peers, Peer{Process: id, Zone: "z", Client: fixedPeer{a}})
	}
	return func() []Peer { return peers }
}

// TestIsolated guards against a process that keeps accepting work while it is cut off from the service and its peers,
// and against a whole fleet that refuses work in an outage of the service.
func TestIsolated(t *testing.T) {
	lost := &wire.ChangesResponse{}
	fresh := &wire.ChangesResponse{Confirmed: true, ContactAgeMilli: 100}
	old := &wire.ChangesResponse{Confirmed: true, ContactAgeMilli: 3500}
	cases := []struct {
		name  string
		cut   bool
		peers []*wire.ChangesResponse
		want  bool
	}{
		{"service responds, no peers", false, nil, false},
		{"service responds, peers do not", false, []*wire.ChangesResponse{nil, nil, nil}, false},
		{"cut off, no peers", true, nil, true},
		{"cut off, no peer responds", true, []*wire.ChangesResponse{nil, nil, nil}, true},
		{"cut off, one of three peers reports the loss", true, []*wire.ChangesResponse{lost, nil, nil}, true},
		{"cut off, two of four peers report the loss", true, []*wire.ChangesResponse{lost, lost, nil, nil}, true},
		{"outage, two of three peers report the loss", true, []*wire.ChangesResponse{lost, lost, nil}, false},
		{"cut off, one peer has recent contact", true, []*wire.ChangesResponse{fresh, nil, nil}, false},
		{"cut off, one peer's contact is too old", true, []*wire.ChangesResponse{old, nil, nil}, true},
	}
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			w := newFixture(t)
			l := &link{fixture: w}
			s := New(entryIdentity("a", "z"), l, WithClock(w.clock), WithPeers(fixedPeers(x.peers...)))
			if err := s.readAll(t.Context()); err != nil {
				t.Fatal(err)
			}
			l.cut = x.cut
			for range 8 {
				w.clock.Advance(probeInterval).MustWait(t.Context())
				s.checkContact(t.Context())
			}
			if got := s.Isolated(); got != x.want {
				t.Errorf("isolated %v, want %v", got, x.want)
			}
			l.cut = false
			s.checkContact(t.Context())
			if s.Isolated() {
				t.Error("still isolated after the service responds")
			}
		})
	}
}

// TestFollowersDoNotConfirmEachOther guards against two processes that are cut off from the service and renew each
// other's contact for ever.
func TestFollowersDoNotConfirmEachOther(t *testing.T) {
	w := newFixture(t)
	l := &link{fixture: w}
	var a, b *Source
	a = New(entryIdentity("a", "z"), l, WithClock(w.clock), WithPeers(func() []Peer { return []Peer{{"b", "z", sourcePeer{b, neverUnresponsive}}} }))
	b = New(entryIdentity("b", "z"), l, WithClock(w.clock), WithPeers(func() []Peer { return []Peer{{"a", "z", sourcePeer{a, neverUnresponsive}}} }))
	if err := a.readAll(t.Context()); err != nil {
		t.Fatal(err)
	}
	l.cut = true
	for range 20 {
		w.clock.Advance(probeInterval).MustWait(t.Context())
		for _, s := range []*Source{a, b} {
			for _, p := range s.peers() {
				if _, err := s.poll(t.Context(), p, 0); err != nil {
					t.Fatal(err)
				}
			}
		}
	}
	if !a.contactIsStale() || !b.contactIsStale() {
		t.Error("contact is fresh 10 s after the service was lost")
	}
}

// TestStartDuringOutage guards against a new process that starts from a stale peer although most peers have a newer
// configuration.
func TestStartDuringOutage(t *testing.T) {
	w := newFixture(t)
	l := &link{fixture: w}
	var sources []*Source
	for i := range 3 {
		s := New(entryIdentity(string(rune('a'+i)), "z"), l, WithClock(w.clock))
		w.putCaller(t, "x", float64(i))
		if err := s.readAll(t.Context()); err != nil {
			t.Fatal(err)
		}
		sources = append(sources, s)
	}
	l.cut = true
	w.clock.Advance(isolationTimeout).MustWait(t.Context())
	for _, x := range []struct {
		name         string
		unresponsive string
		want         float64
	}{
		{"all respond", "", 2},
		{"the newest does not respond", "c", 1},
		{"one of three responds", "bc", -1},
		{"none responds", "abc", -1},
	} {
		t.Run(x.name, func(t *testing.T) {
			var out bytes.Buffer
			peers := func() (list []Peer) {
				for _, s := range sources {
					unresponsive := func() bool { return strings.Contains(x.unresponsive, string(s.identity.Process)) }
					list = append(list, Peer{s.identity.Process, "z", sourcePeer{s, unresponsive}})
				}
				return list
			}
			log := timeline.New(&out, timeline.Process{}, 0)
			s := New(entryIdentity("new", "z"), l, WithClock(w.clock), WithPeers(peers), WithLog(log))
			if err := s.followPeers(t.Context()); err == nil {
				t.Error("no error although no peer has contact with the service")
			}
			if got := callerShare(s, "x"); got != x.want {
				t.Errorf("share %v, want %v", got, x.want)
			}
			if reported := strings.Contains(out.String(), "not from the key-value service"); reported != (x.want >= 0) {
				t.Errorf("log: %s", out.String())
			}
		})
	}
}

// TestRefresh guards against work on a revision older than the message names, and against one read of the service for
// each waiting request.
func TestRefresh(t *testing.T) {
	w := newFixture(t)
	s := New(entryIdentity("a", "z"), &link{fixture: w}, WithClock(w.clock))
	at := w.putCaller(t, "a", 1)
	before := w.service.Calls()[standin.CallRange]
	errs := make(chan error)
	for range 20 {
		go func() { errs <- s.Refresh(t.Context(), at) }()
	}
	for range 20 {
		if err := <-errs; err != nil {
			t.Error(err)
		}
	}
	if n := w.service.Calls()[standin.CallRange] - before; n != 1 {
		t.Errorf("%d reads, want 1 for all refreshes", n)
	}
	if err := s.Refresh(t.Context(), at+5); err == nil {
		t.Error("refresh to a revision that does not exist succeeded")
	}
}

// TestWatchersPerZone guards against a load on the service that grows with the fleet, and against followers that all
// poll the same entry.
func TestWatchersPerZone(t *testing.T) {
	var all []Peer
	for _, z := range []ident.Zone{"y", "z"} {
		for i := range 10 {
			all = append(all, Peer{Process: ident.Process(string(z) + string(rune('0'+i))), Zone: z})
		}
	}
	peers := WithPeers(func() []Peer { return all })
	watching := 0
	for _, p := range all {
		if New(entryIdentity(string(p.Process), p.Zone), nil, peers, WithWatchers(2)).shouldWatch() {
			watching++
		}
	}
	if watching != 4 {
		t.Errorf("%d of 20 entries watch, want 2 in each of 2 zones", watching)
	}
	first := make(map[ident.Process]int)
	for i := range 100 {
		follower := Identity{Process: ident.Process(fmt.Sprintf("agent-%d", i)), Role: registry.RoleAgent, Zone: "z"}
		list := New(follower, nil, peers, WithWatchers(2)).watchingPeers()
		if len(list) != 4 || list[0].Zone != "z" || list[1].Zone != "z" {
			t.Fatalf("%s follows %v", follower.Process, list)
		}
		first[list[0].Process]++
	}
	if len(first) != 2 || first["z0"] < 20 || first["z1"] < 20 {
		t.Errorf("the followers of a zone spread as %v", first)
	}
	agent := Identity{Process: "agent", Role: registry.RoleAgent, Zone: "z"}
	if New(agent, nil, peers).shouldWatch() {
		t.Error("an agent watches although entries are known")
	}
	if !New(agent, nil).shouldWatch() {
		t.Error("an agent that knows no entry does not watch")
	}
}

// TestRun guards against a change that does not reach a watcher and its follower through Run, also after a gap in the
// watch.
func TestRun(t *testing.T) {
	w := newFixture(t)
	ctx, cancel := context.WithCancel(t.Context())
	watcher := New(entryIdentity("a", "z"), w.client)
	agent := Identity{Process: "b", Role: registry.RoleAgent, Zone: "z"}
	follower := New(agent, w.client, WithClock(quartz.NewReal()),
		WithPeers(func() []Peer { return []Peer{{"a", "z", watcher}} }))
	runErrs := make(chan error)
	for _, s := range []*Source{watcher, follower} {
		go func() { runErrs <- s.Run(ctx) }()
	}
	for i := range 3 {
		at := w.putCaller(t, "a", float64(i))
		for _, s := range []*Source{watcher, follower} {
			waitFor(t, s, at)
		}
		w.service.CompactAndCutWatches()
	}
	cancel()
	for range 2 {
		if err := <-runErrs; !eris.Is(err, context.Canceled) {
			t.Error(err)
		}
	}
}

// TestRunDuringOutage guards against a process that is started while the service is down and stays without a
// configuration, or that does not follow the service once it recovers.
func TestRunDuringOutage(t *testing.T) {
	w := newFixture(t)
	at := w.putCaller(t, "a", 1)
	var peers []Peer
	for _, id := range []string{"a", "b", "c"} {
		s := New(entryIdentity(id, "z"), w.client)
		if err := s.readAll(t.Context()); err != nil {
			t.Fatal(err)
		}
		peers = append(peers, Peer{ident.Process(id), "z", sourcePeer{s, neverUnresponsive}})
	}
	w.service.SetOutage(standin.OutageRefused)
	for _, x := range []struct {
		name     string
		identity Identity
	}{
		{"entry that watches", entryIdentity("0", "z")},
		{"agent", Identity{Process: "d", Role: registry.RoleAgent, Zone: "z"}},
	} {
		t.Run(x.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			s := New(x.identity, w.client, WithPeers(func() []Peer { return peers }))
			runErrs := make(chan error)
			go func() { runErrs <- s.Run(ctx) }()
			waitFor(t, s, at)
			if callerShare(s, "a") != 1 {
				t.Errorf("share %v, want 1", callerShare(s, "a"))
			}
			w.service.SetOutage(standin.OutageNone)
			at = w.putCaller(t, "a", 1)
			at = w.putCaller(t, "b", float64(at))
			for _, p := range peers {
				if err := p.Client.(sourcePeer).source.readAll(t.Context()); err != nil {
					t.Error(err)
				}
			}
			waitFor(t, s, at)
			w.service.SetOutage(standin.OutageRefused)
			cancel()
			<-runErrs
		})
	}
}

func waitFor(t *testing.T, s *Source, at ident.Revision) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	for s.Generation() < at {
		s.mu.Lock()
		changed := s.changed
		done := s.generation >= at
		s.mu.Unlock()
		if done {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			t.Fatalf("%s is at %d, want %d", s.identity.Process, s.Generation(), at)
		}
	}
}

// TestWatchEndsOnceAnEntryIsKnown guards against a process that knew no entry when it started and then watches the
// service for ever instead of following an entry.
func TestWatchEndsOnceAnEntryIsKnown(t *testing.T) {
	w := newFixture(t)
	w.putCaller(t, "a", 1)
	var peers []Peer
	agent := Identity{Process: "b", Role: registry.RoleAgent, Zone: "z"}
	s := New(agent, w.client, WithPeers(func() []Peer { return peers }))
	if err := s.readAll(t.Context()); err != nil {
		t.Fatal(err)
	}
	peers = []Peer{{"a", "z", nil}}
	at := w.putCaller(t, "a", 2)
	if err := s.watch(t.Context()); !eris.Is(err, errNotWatcher) {
		t.Errorf("watch ended with %v", err)
	}
	if g := s.Generation(); g < at {
		t.Errorf("generation is %d, want the change at %d", g, at)
	}
}

// TestContactAgeExcludesPollWait guards against followers that count the wait of a poll as age of the contact, and so
// probe all peers between two polls.
func TestContactAgeExcludesPollWait(t *testing.T) {
	clock := quartz.NewMock(t).WithLogger(quartz.NoOpLogger)
	s := New(entryIdentity("a", "z"), nil, WithClock(clock))
	trap := clock.Trap().NewTimer()
	defer trap.Close()
	s.recordContact(clock.Now())
	responses := make(chan *wire.ChangesResponse)
	go func() {
		a, _ := s.Changes(t.Context(), &wire.ChangesRequest{WaitMilli: pollWait.Milliseconds()})
		responses <- a
	}()
	trap.MustWait(t.Context()).MustRelease(t.Context())
	clock.Advance(pollWait).MustWait(t.Context())
	if a := <-responses; !a.Confirmed || a.ContactAgeMilli != 1 {
		t.Errorf("confirmed %v, age %d ms, want 1", a.Confirmed, a.ContactAgeMilli)
	}
}

// TestProbesSpreadOverEntries guards against a zone whose processes restart together and all request the whole
// configuration from the same few entries.
func TestProbesSpreadOverEntries(t *testing.T) {
	const entries, starting = 333, 167
	var all []Peer
	for i := range entries {
		all = append(all, Peer{Process: ident.Process(fmt.Sprintf("entry-%03d", i)), Zone: "z"})
	}
	polls := make(map[ident.Process]int)
	maxPolls := 0
	for i := range starting {
		id := Identity{Process: ident.Process(fmt.Sprintf("agent-%d", i)), Role: registry.RoleAgent, Zone: "y"}
		list := New(id, nil, WithPeers(func() []Peer { return all })).samplePeers()
		distinct := make(map[ident.Process]bool)
		for _, p := range list {
			distinct[p.Process] = true
			polls[p.Process]++
			maxPolls = max(maxPolls, polls[p.Process])
		}
		if len(distinct) != maxProbePeers {
			t.Fatalf("%s polls %d different entries", id.Process, len(distinct))
		}
	}
	// 167 processes poll maxProbePeers of 333 entries each, on average 4.5 polls per entry.
	t.Logf("%d entries are polled, one at most %d times", len(polls), maxPolls)
	if maxPolls > 20 {
		t.Errorf("one entry is polled by %d of %d processes", maxPolls, starting)
	}
}
