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

// ChangesClient is the part of the wire service Entry that a Source calls.
type ChangesClient interface {
	Changes(ctx context.Context, q *wire.ChangesRequest) (a *wire.ChangesResponse, err error)
}

// Peer is an entry that serves Changes.
type Peer struct {
	Process ident.Process
	Zone    ident.Zone
	Client  ChangesClient
}

const (
	// pollWait limits the time that one Changes call waits for a change. Together with probeInterval it keeps a
	// follower's last contact with the service younger than maxConfirmedContactAge.
	pollWait = time.Second
	// peerTimeout limits a call to a peer, in addition to the wait that the call requests.
	peerTimeout = time.Second
	// maxProbePeers limits the calls of one probe, whatever the size of the fleet.
	maxProbePeers = 9
)

// otherPeers returns the last known peers without the process itself, ordered by process id.
func (s *Source) otherPeers() (list []Peer) {
	for _, p := range s.peers() {
		if p.Process != s.identity.Process {
			list = append(list, p)
		}
	}
	slices.SortFunc(list, func(a, b Peer) int { return cmp.Compare(a.Process, b.Process) })
	return list
}

// shouldWatch reports whether the process is one of the few that read the service: one of the first entries of its
// zone, or any process that knows no entry to follow.
func (s *Source) shouldWatch() bool {
	list := s.otherPeers()
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
	return before < s.watchersPerZone
}

// watchingPeers returns the entries that should watch the service, those of the process's own zone first. The order
// within a zone depends on the process, so that the followers of a zone spread over its watchers.
func (s *Source) watchingPeers() (list []Peer) {
	perZone := make(map[ident.Zone]int)
	for _, p := range s.otherPeers() {
		perZone[p.Zone]++
		if perZone[p.Zone] <= s.watchersPerZone {
			list = append(list, p)
		}
	}
	slices.SortStableFunc(list, func(a, b Peer) int {
		return cmp.Or(
			cmp.Compare(sortRank(a.Zone != s.identity.Zone), sortRank(b.Zone != s.identity.Zone)),
			cmp.Compare(s.peerHash(a), s.peerHash(b)),
		)
	})
	return list
}

func (s *Source) peerHash(p Peer) uint32 {
	h := fnv.New32a()
	h.Write([]byte(p.Process))
	h.Write([]byte(s.identity.Process))
	return h.Sum32()
}

func sortRank(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Changes returns the shards that are newer than those of the requesting peer. If there are none, it waits for a change
// for the requested time.
func (s *Source) Changes(ctx context.Context, request *wire.ChangesRequest) (response *wire.ChangesResponse, err error) {
	response, changed := s.changesSince(request)
	if len(response.Shards) > 0 || request.WaitMilli <= 0 {
		return response, nil
	}
	wait := min(time.Duration(request.WaitMilli)*time.Millisecond, pollWait)
	arrived := s.clock.Now()
	t := s.clock.NewTimer(wait)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-ctx.Done():
	}
	response, _ = s.changesSince(request)
	if response.Confirmed {
		// The peer counts the age from the time it sent the request. If the wait were not subtracted, each contact would
		// look older by it, and a follower would probe other peers between two polls.
		response.ContactAgeMilli -= s.clock.Since(arrived).Milliseconds()
	}
	return response, nil
}

func (s *Source) changesSince(request *wire.ChangesRequest) (response *wire.ChangesResponse, changed <-chan struct{}) {
	have := make(map[int]ident.Revision, len(request.Have))
	for _, h := range request.Have {
		have[int(h.Shard)] = ident.Revision(h.Revision)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	set := s.set.Load()
	response = &wire.ChangesResponse{Generation: int64(s.generationLocked())}
	for number := range resource.ShardCount {
		_, r := set.Shard(number)
		if r > max(have[number], ident.Revision(request.Generation)) {
			response.Shards = append(response.Shards, &wire.Shard{Shard: uint32(number), Revision: int64(r), Value: s.values[number]})
		}
	}
	age := s.clock.Since(s.lastContact)
	response.Confirmed = !s.lastContact.IsZero() && age <= maxConfirmedContactAge
	if response.Confirmed {
		response.ContactAgeMilli = age.Milliseconds() + 1
	}
	return response, s.changed
}

// changesRequest returns a request that states what the process has. Shards newer than the generation are listed one by
// one: a shard that cannot be decoded holds the generation back, and a peer must not send the other shards with each
// response.
func (s *Source) changesRequest() (request *wire.ChangesRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	set, g := s.set.Load(), s.generationLocked()
	request = &wire.ChangesRequest{Generation: int64(g)}
	for number := range resource.ShardCount {
		if r := s.newestRevisionLocked(set, number); r > g {
			request.Have = append(request.Have, &wire.ShardRevision{Shard: uint32(number), Revision: int64(r)})
		}
	}
	return request
}

// poll requests changes from one peer and applies them.
func (s *Source) poll(ctx context.Context, p Peer, wait time.Duration) (response *wire.ChangesResponse, err error) {
	defer func() { err = eris.Wrapf(err, "request changes from %s", p.Process) }()
	ctx, cancel := context.WithTimeout(ctx, wait+peerTimeout)
	defer cancel()
	sent := s.clock.Now()
	request := s.changesRequest()
	request.WaitMilli = wait.Milliseconds()
	response, err = p.Client.Changes(ctx, request)
	if err != nil {
		return nil, err
	}
	list := make([]storedShard, len(response.Shards))
	for i, x := range response.Shards {
		list[i] = storedShard{number: int(x.Shard), revision: ident.Revision(x.Revision), value: x.Value}
	}
	// A process with nothing in force needs several peers: this one may have lost contact with the service before an
	// accepted change.
	if s.staging || request.Generation > 0 {
		s.apply(list, ident.Revision(response.Generation), "from peer "+string(p.Process))
	}
	if response.Confirmed {
		// The age counts from the send, so that a delayed response does not look fresh.
		s.recordContact(sent.Add(-time.Duration(response.ContactAgeMilli) * time.Millisecond))
	}
	return response, nil
}

// PeersOf returns the entries among the processes as peers; connect returns the client of one entry.
func PeersOf(list []registry.ProcessRecord, connect func(registry.ProcessRecord) ChangesClient) (peers []Peer) {
	for _, p := range list {
		if p.Role == registry.RoleEntry {
			peers = append(peers, Peer{Process: p.Process, Zone: p.Zone, Client: connect(p)})
		}
	}
	return peers
}
