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
	benchmarkBuckets = 32 // the number of buckets of a deployment
	keyValueLatency  = 3 * time.Millisecond
	requestRunTime   = 50 * time.Millisecond
	answerBodyBytes  = 256 // size of a small recorded response
)

// callCounts counts requests, key-value calls and bytes written.
type callCounts struct{ calls, bytes, requests int }

// groupCommitSimulation runs the owners of all buckets against a key-value service that responds after keyValueLatency.
type groupCommitSimulation struct {
	callCounts
	now       time.Time
	pending   callQueue
	scheduled int
	buckets   []*Bucket
	revisions []ident.Revision
}

func (g *groupCommitSimulation) after(d time.Duration, fn func()) {
	g.scheduled++
	heap.Push(&g.pending, scheduledCall{g.now.Add(d), g.scheduled, fn})
}

func (g *groupCommitSimulation) step(n int, ev Event) {
	for _, c := range g.buckets[n].Step(g.now, ev) {
		g.perform(n, c)
	}
}

func (g *groupCommitSimulation) perform(n int, c Command) {
	switch x := c.(type) {
	case ReadValue:
		g.calls++
		g.after(keyValueLatency, func() { g.step(n, ValueRead{Sequence: x.Sequence}) })
	case WriteValue:
		g.calls++
		g.bytes += len(x.Value)
		g.revisions[n]++
		at := g.revisions[n]
		g.after(keyValueLatency, func() { g.step(n, ValueWritten{x.WriteID, WriteApplied, at}) })
	case WriteSegment:
		g.calls++
		g.bytes += len(x.Value)
		g.after(keyValueLatency, func() { g.step(n, SegmentWritten{x.Name, true}) })
	case Wake:
		g.after(x.After, func() { g.step(n, Tick{}) })
	case DeleteSegment:
		g.calls += 2 // a read for the revision, and the delete
	}
}

func benchmarkIntend(i int) Intend {
	return Intend{
		Token: Token(i), Caller: "caller-0001", Key: ident.Key(fmt.Sprintf("order-%026d", i)), Digest: make([]byte, 32),
		ID: ident.TryID{RequestID: ident.RequestID(fmt.Sprintf("req-%024d", i)), Try: 1, Incarnation: 12345}, Endpoint: "custody-1",
	}
}

func benchmarkConclude(e Intend) Conclude {
	return Conclude{Token: e.Token, Caller: e.Caller, Key: e.Key, ID: e.ID, Outcome: outcome.Completed, Answer: &Answer{
		Status: 201, ContentType: "application/json", Body: make([]byte, answerBodyBytes), RequestID: e.ID.RequestID,
	}}
}

func simulateGroupCommit(perSecond int, interval, d time.Duration) callCounts {
	g := &groupCommitSimulation{now: clockStart, revisions: make([]ident.Revision, benchmarkBuckets)}
	c := DefaultConfig()
	c.CommitInterval, c.SettleAfter = interval, time.Hour
	for range benchmarkBuckets {
		g.buckets = append(g.buckets, New("a", c))
	}
	for n := range g.buckets {
		g.step(n, Acquire{})
	}
	rng := rand.New(rand.NewPCG(1, uint64(perSecond)))
	g.scheduleArrivals(rng, perSecond)
	for end := g.now.Add(d); len(g.pending) > 0 && g.pending[0].at.Before(end); {
		it := heap.Pop(&g.pending).(scheduledCall)
		g.now = it.at
		it.fn()
	}
	return g.callCounts
}

// scheduleArrivals schedules requests with Poisson arrivals; each one is granted, runs and is concluded.
func (g *groupCommitSimulation) scheduleArrivals(rng *rand.Rand, perSecond int) {
	g.after(time.Duration(rng.ExpFloat64()/float64(perSecond)*float64(time.Second)), func() {
		g.requests++
		e, n := benchmarkIntend(g.requests), rng.IntN(benchmarkBuckets)
		g.step(n, e)
		g.after(2*keyValueLatency+requestRunTime, func() { g.step(n, benchmarkConclude(e)) })
		g.scheduleArrivals(rng, perSecond)
	})
}

// countWritePerKey counts the calls of a design with one stored value per key: create the intent, replace it by the outcome,
// delete it after the retention.
func countWritePerKey(requests int) callCounts {
	m := callCounts{requests: requests}
	for i := range requests {
		e := benchmarkIntend(i)
		r := Record{Caller: e.Caller, Key: e.Key, Digest: e.Digest, ID: e.ID, Endpoint: e.Endpoint, State: Intent}
		r.AtUnixMilli, r.UntilUnixMilli = clockStart.UnixMilli(), clockStart.UnixMilli()
		m.bytes += len(newStoredRecord(r).raw)
		r.State, r.Answer = Completed, benchmarkConclude(e).Answer
		m.bytes += len(newStoredRecord(r).raw)
		m.calls += 3
	}
	return m
}

func (m callCounts) perRequest() (calls, bytes float64) {
	return float64(m.calls) / float64(m.requests), float64(m.bytes) / float64(m.requests)
}

// BenchmarkComparison prints key-value calls and bytes written per request of the group commit, with and without
// a minimum time between commits, and of a design with one stored value per key.
func BenchmarkComparison(b *testing.B) {
	report := func(b *testing.B, perSecond int, m callCounts) {
		calls, bytes := m.perRequest()
		b.ReportMetric(calls, "calls/request")
		b.ReportMetric(bytes, "bytes/request")
		b.ReportMetric(calls*float64(perSecond), "calls/s")
	}
	for _, perSecond := range []int{1, 10, 100, 1000} {
		for _, interval := range []time.Duration{0, 100 * time.Millisecond} {
			// The simulated time gives about 6000 requests at each rate.
			b.Run(fmt.Sprintf("policy=group/rate=%d/interval=%v", perSecond, interval), func(b *testing.B) {
				for b.Loop() {
					report(b, perSecond, simulateGroupCommit(perSecond, interval, time.Duration(6000/perSecond)*time.Second))
				}
			})
		}
		b.Run(fmt.Sprintf("policy=plain/rate=%d", perSecond), func(b *testing.B) {
			for b.Loop() {
				report(b, perSecond, countWritePerKey(1000))
			}
		})
	}
}
