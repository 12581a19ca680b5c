package configuration

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/rotisserie/eris"

	"shallotring.dev/protocol/wire"
)

// reporter is an agent that returns the same response to every call; nil means none.
type reporter struct {
	response *wire.InForceResponse
	calls    *atomic.Int64
}

func (r *reporter) InForce(_ context.Context, q *wire.InForceRequest) (*wire.InForceResponse, error) {
	r.calls.Add(1)
	if r.response == nil || !q.GetContact() {
		return nil, eris.New("no response")
	}
	return r.response, nil
}

// TestIsolatedWithAgents guards against a single entry that refuses all work in an outage although its agents report
// the outage too, against one that is cut off and keeps accepting work, and against a probe whose calls grow with the
// fleet.
func TestIsolatedWithAgents(t *testing.T) {
	lost, fresh := &wire.InForceResponse{}, &wire.InForceResponse{Confirmed: true, ContactAgeMilli: 100}
	many := make([]*wire.InForceResponse, 600)
	for i := range many {
		many[i] = lost
	}
	lostEntry := &wire.ChangesResponse{}
	for _, x := range []struct {
		name    string
		entries []*wire.ChangesResponse
		agents  []*wire.InForceResponse
		want    bool
	}{
		{"outage, two of three agents report it", nil, []*wire.InForceResponse{lost, lost, nil}, false},
		{"outage, the only agent reports it", nil, []*wire.InForceResponse{lost}, false},
		{"outage, all of 600 agents report it", nil, many, false},
		{"cut off, two of three agents have contact", nil, []*wire.InForceResponse{fresh, fresh, lost}, true},
		{"cut off from two of three agents too", nil, []*wire.InForceResponse{lost, nil, nil}, true},
		{"cut off, one of two agents has contact", nil, []*wire.InForceResponse{lost, fresh}, true},
		{"outage, entry and one of two agents report it", []*wire.ChangesResponse{lostEntry}, []*wire.InForceResponse{lost, nil}, false},
		{"outage, entry does not respond", []*wire.ChangesResponse{nil}, []*wire.InForceResponse{lost, lost}, false},
		{"entry reports the loss, agents have contact", []*wire.ChangesResponse{lostEntry}, []*wire.InForceResponse{fresh, fresh}, true},
	} {
		t.Run(x.name, func(t *testing.T) {
			w := newFixture(t)
			l := &link{fixture: w}
			var calls atomic.Int64
			witnesses := func() (list []Witness) {
				for _, a := range x.agents {
					list = append(list, Witness{Reporter: &reporter{response: a, calls: &calls}})
				}
				return list
			}
			s := New(entryIdentity("a", "z"), l, WithClock(w.clock), WithPeers(fixedPeers(x.entries...)), WithWitnesses(witnesses))
			if err := s.readAll(t.Context()); err != nil {
				t.Fatal(err)
			}
			l.cut = true
			for range 8 {
				w.clock.Advance(probeInterval).MustWait(t.Context())
				s.checkContact(t.Context())
			}
			if got := s.Isolated(); got != x.want {
				t.Errorf("isolated %v, want %v", got, x.want)
			}
			before := calls.Load()
			s.checkContact(t.Context())
			if n := int(calls.Load()-before) + len(x.entries); n > maxProbePeers {
				t.Errorf("%d calls in one probe", n)
			}
		})
	}
}
