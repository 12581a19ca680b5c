package configuration

import (
	"cmp"
	"context"
	"hash/fnv"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"shallotring.dev/coordination/registry"
	"shallotring.dev/protocol/wire"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/resource"
)

// Changer is the part of the wire service Entry that a Source calls.
type Changer interface {
	Changes(ctx context.Context, q *wire.ChangesRequest) (a *wire.ChangesResponse, err error)
}

// Peer is an entry that serves Changes.
type Peer struct {
	Process ident.Process
	Zone    ident.Zone
	Changer Changer
}

const (
	// pollWait is the longest wait of one Changes call. With probeInterval it keeps a follower's knowledge of the
	// service younger than confirmTime.
	pollWait = time.Second
	// peerTimeout bounds a call to a peer beyond its wait.
	peerTimeout = time.Second
	// maxProbePeers bounds the calls of one probe at any fleet size.
	maxProbePeers = 9
)

// others returns the last known peers without the process itself, in order of process id.
func (s *Source) others() (list []Peer) {
	for _, p := range s.peers() {
		if p.Process != s.identity.Process {
			list = append(list, p)
		}
	}
	slices.SortFunc(list, func(a, b Peer) int { return cmp.Compare(a.Process, b.Process) })
	return list
}

// watches reports whether the process is one of the few that read the service: an entry among the first of its zone,
// or any process that knows no entry to follow.
func (s *Source) watches() bool {
	list := s.others()
	if len(list) == 0 {
		return true
	}
	if s.identity.Role != registry.RoleEntry {
		return false
	}
	before := 0
	for _, p := range list {
		if p.Zone == s.identity.Zone && p.Process < s.identity.Process {
			before++
		}
	}
	return before < s.watchers
}

// sources returns the entries that should watch the service, those of the own zone first. The order among them depends
// on the process, so that the followers of a zone spread over its watchers.
func (s *Source) sources() (list []Peer) {
	perZone := make(map[ident.Zone]int)
	for _, p := range s.others() {
		perZone[p.Zone]++
		if perZone[p.Zone] <= s.watchers {
			list = append(list, p)
		}
	}
	slices.SortStableFunc(list, func(a, b Peer) int {
		return cmp.Or(
			cmp.Compare(rank(a.Zone != s.identity.Zone), rank(b.Zone != s.identity.Zone)),
			cmp.Compare(s.weight(a), s.weight(b)),
		)
	})
	return list
}

func (s *Source) weight(p Peer) uint32 {
	h := fnv.New32a()
	h.Write([]byte(p.Process))
	h.Write([]byte(s.identity.Process))
	return h.Sum32()
}

func rank(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Changes answers a peer with the shards that are newer than its own.
func (s *Source) Changes(ctx context.Context, q *wire.ChangesRequest) (a *wire.ChangesResponse, err error) {
	a, changed := s.newer(q)
	if len(a.Shards) > 0 || q.WaitMilli <= 0 {
		return a, nil
	}
	wait := min(time.Duration(q.WaitMilli)*time.Millisecond, pollWait)
	arrived := s.clock.Now()
	t := s.clock.NewTimer(wait)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-ctx.Done():
	}
	a, _ = s.newer(q)
	if a.Confirmed {
		// The caller counts the age from its send. Without the wait each contact would look older by it, and a follower
		// would probe other peers between two polls.
		a.ContactAgeMilli -= s.clock.Since(arrived).Milliseconds()
	}
	return a, nil
}

func (s *Source) newer(q *wire.ChangesRequest) (a *wire.ChangesResponse, changed <-chan struct{}) {
	have := make(map[int]ident.Revision, len(q.Have))
	for _, h := range q.Have {
		have[int(h.Shard)] = ident.Revision(h.Revision)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	set := s.set.Load()
	a = &wire.ChangesResponse{Generation: int64(s.generationLocked())}
	for number := range resource.ShardCount {
		_, r := set.Shard(number)
		if r > max(have[number], ident.Revision(q.Generation)) {
			a.Shards = append(a.Shards, &wire.Shard{Shard: uint32(number), Revision: int64(r), Value: s.values[number]})
		}
	}
	age := s.clock.Since(s.contact)
	a.Confirmed = !s.contact.IsZero() && age <= confirmTime
	if a.Confirmed {
		a.ContactAgeMilli = age.Milliseconds() + 1
	}
	return a, s.changed
}

// question names what the process has. Shards beyond the generation are named one by one: a failing shard holds the
// generation back, and a peer must not send the others with each answer.
func (s *Source) question() (q *wire.ChangesRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	set, g := s.set.Load(), s.generationLocked()
	q = &wire.ChangesRequest{Generation: int64(g)}
	for number := range resource.ShardCount {
		if r := s.revisionLocked(set, number); r > g {
			q.Have = append(q.Have, &wire.ShardRevision{Shard: uint32(number), Revision: int64(r)})
		}
	}
	return q
}

// poll asks one peer for changes and applies them.
func (s *Source) poll(ctx context.Context, p Peer, wait time.Duration) (a *wire.ChangesResponse, err error) {
	defer func() { err = eris.Wrapf(err, "changes from %s", p.Process) }()
	ctx, cancel := context.WithTimeout(ctx, wait+peerTimeout)
	defer cancel()
	sent := s.clock.Now()
	q := s.question()
	q.WaitMilli = wait.Milliseconds()
	a, err = p.Changer.Changes(ctx, q)
	if err != nil {
		return nil, err
	}
	list := make([]stored, len(a.Shards))
	for i, x := range a.Shards {
		list[i] = stored{number: int(x.Shard), revision: ident.Revision(x.Revision), value: x.Value}
	}
	// A process with nothing in force waits for several peers: this one may have been cut off before an accepted change.
	if s.staging || q.Generation > 0 {
		s.apply(list, ident.Revision(a.Generation), "from peer "+string(p.Process))
	}
	if a.Confirmed {
		// The age is counted from the send: an answer that was delayed on the way must not look fresh.
		s.touch(sent.Add(-time.Duration(a.ContactAgeMilli) * time.Millisecond))
	}
	return a, nil
}

// PeersOf returns the entries among the processes as peers; connect returns the client of one entry.
func PeersOf(list []registry.ProcessRecord, connect func(registry.ProcessRecord) Changer) (peers []Peer) {
	for _, p := range list {
		if p.Role == registry.RoleEntry {
			peers = append(peers, Peer{Process: p.Process, Zone: p.Zone, Changer: connect(p)})
		}
	}
	return peers
}
