package ledger

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"shallotring.dev/state/ident"
	"shallotring.dev/state/outcome"
)

const (
	comparedBuckets = 32
	answerTime      = 3 * time.Millisecond
	runTime         = 50 * time.Millisecond
	comparedAnswer  = 256 // bytes of a small recorded answer
)

// meter counts the key-value calls and the bytes written.
type meter struct{ calls, bytes, requests int }

// group runs owners of all buckets against a service that answers in answerTime.
type group struct {
	meter
	now     time.Time
	agenda  agenda
	order   int
	buckets []*Bucket
	at      []ident.Revision
}

func (g *group) after(d time.Duration, fn func()) {
	g.order++
	heap.Push(&g.agenda, item{g.now.Add(d), g.order, fn})
}

func (g *group) step(n int, ev Event) {
	for _, c := range g.buckets[n].Step(g.now, ev) {
		g.do(n, c)
	}
}

func (g *group) do(n int, c Command) {
	switch x := c.(type) {
	case ReadValue:
		g.calls++
		g.after(answerTime, func() { g.step(n, ValueRead{Sequence: x.Sequence}) })
	case WriteValue:
		g.calls++
		g.bytes += len(x.Value)
		g.at[n]++
		at := g.at[n]
		g.after(answerTime, func() { g.step(n, ValueWritten{x.WriteID, Swapped, at}) })
	case WriteSegment:
		g.calls++
		g.bytes += len(x.Value)
		g.after(answerTime, func() { g.step(n, SegmentWritten{x.Name, true}) })
	case Wake:
		g.after(x.After, func() { g.step(n, Tick{}) })
	case DeleteSegment:
		g.calls += 2 // a read for the revision, and the delete
	}
}

func comparedIntend(i int) Intend {
	return Intend{
		Token: Token(i), Caller: "caller-0001", Key: ident.Key(fmt.Sprintf("order-%026d", i)), Digest: make([]byte, 32),
		ID: ident.TryID{RequestID: ident.RequestID(fmt.Sprintf("req-%024d", i)), Try: 1, Incarnation: 12345}, Endpoint: "custody-1",
	}
}

func comparedConclude(e Intend) Conclude {
	return Conclude{Token: e.Token, Caller: e.Caller, Key: e.Key, ID: e.ID, Outcome: outcome.Completed, Answer: &Answer{
		Status: 201, ContentType: "application/json", Body: make([]byte, comparedAnswer), RequestID: e.ID.RequestID,
	}}
}

func runGroup(perSecond int, interval, d time.Duration) meter {
	g := &group{now: epochStart, at: make([]ident.Revision, comparedBuckets)}
	c := DefaultConfig()
	c.CommitInterval, c.SettleAfter = interval, time.Hour
	for range comparedBuckets {
		g.buckets = append(g.buckets, New("a", c))
	}
	for n := range g.buckets {
		g.step(n, Acquire{})
	}
	rng := rand.New(rand.NewPCG(1, uint64(perSecond)))
	g.arrive(rng, perSecond)
	for end := g.now.Add(d); len(g.agenda) > 0 && g.agenda[0].at.Before(end); {
		it := heap.Pop(&g.agenda).(item)
		g.now = it.at
		it.fn()
	}
	return g.meter
}

// arrive schedules Poisson arrivals; each request is granted, runs and is concluded.
func (g *group) arrive(rng *rand.Rand, perSecond int) {
	g.after(time.Duration(rng.ExpFloat64()/float64(perSecond)*float64(time.Second)), func() {
		g.requests++
		e, n := comparedIntend(g.requests), rng.IntN(comparedBuckets)
		g.step(n, e)
		g.after(2*answerTime+runTime, func() { g.step(n, comparedConclude(e)) })
		g.arrive(rng, perSecond)
	})
}

// plain is a compare-and-swap per key: create the intent, replace it by the outcome, delete it after the retention.
func plain(requests int) meter {
	m := meter{requests: requests}
	for i := range requests {
		e := comparedIntend(i)
		r := Record{Caller: e.Caller, Key: e.Key, Digest: e.Digest, ID: e.ID, Endpoint: e.Endpoint, State: Intent}
		r.AtUnixMilli, r.UntilUnixMilli = epochStart.UnixMilli(), epochStart.UnixMilli()
		m.bytes += len(newEntry(r).raw)
		r.State, r.Answer = Completed, comparedConclude(e).Answer
		m.bytes += len(newEntry(r).raw)
		m.calls += 3
	}
	return m
}

func (m meter) perRequest() (calls, bytes float64) {
	return float64(m.calls) / float64(m.requests), float64(m.bytes) / float64(m.requests)
}

// BenchmarkComparison prints key-value calls and bytes written per request of the group commit, with and without
// a least time between commits, against a compare-and-swap per key.
func BenchmarkComparison(b *testing.B) {
	report := func(b *testing.B, perSecond int, m meter) {
		calls, bytes := m.perRequest()
		b.ReportMetric(calls, "calls/request")
		b.ReportMetric(bytes, "bytes/request")
		b.ReportMetric(calls*float64(perSecond), "calls/s")
	}
	for _, perSecond := range []int{1, 10, 100, 1000} {
		for _, interval := range []time.Duration{0, 100 * time.Millisecond} {
			b.Run(fmt.Sprintf("policy=group/rate=%d/interval=%v", perSecond, interval), func(b *testing.B) {
				for b.Loop() {
					report(b, perSecond, runGroup(perSecond, interval, time.Duration(6000/perSecond)*time.Second))
				}
			})
		}
		b.Run(fmt.Sprintf("policy=plain/rate=%d", perSecond), func(b *testing.B) {
			for b.Loop() {
				report(b, perSecond, plain(1000))
			}
		})
	}
}
