package entry

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/coder/quartz"

	"shallotring.dev/protocol/wire"
	"shallotring.dev/transport/timeline"
)

const (
	// outcomeRetryDelay is the delay between two attempts to record queued outcomes.
	outcomeRetryDelay = time.Second
	// outcomeExpiry and maxQueuedOutcomes bound the queue; an outcome that is not recorded is settled with the agent.
	outcomeExpiry     = 2 * time.Minute
	maxQueuedOutcomes = 1024
)

// requestIDKey is the log attribute of the request id, as in the timeline.
var requestIDKey = "RequestID"

// queuedOutcome is an outcome that the ledger has not recorded.
type queuedOutcome struct {
	request  *wire.ConcludeRequest
	queuedAt time.Time
}

// outcomeQueue repeats the outcomes of tries that have not run. Without them, the ledger settles such a try with its agent, which may have
// claimed its endpoint again and can't tell any more: the key would be unusable although the request has not run.
type outcomeQueue struct {
	ledger Ledger
	clock  quartz.Clock
	log    *timeline.Log

	mu     sync.Mutex
	queued []*queuedOutcome
	wake   chan struct{}
}

func newOutcomeQueue(l Ledger, clock quartz.Clock, log *timeline.Log) *outcomeQueue {
	return &outcomeQueue{ledger: l, clock: clock, log: log, wake: make(chan struct{}, 1)}
}

// add queues an outcome; it does not block.
func (q *outcomeQueue) add(r *wire.ConcludeRequest) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.queued) >= maxQueuedOutcomes {
		q.log.Warn("an outcome is dropped, because too many are queued; its try is settled with the agent", slog.String(requestIDKey, r.GetID().GetRequestID()))
		return
	}
	q.queued = append(q.queued, &queuedOutcome{request: r, queuedAt: q.clock.Now()})
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// run repeats the queued outcomes until the context ends.
func (q *outcomeQueue) run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-q.wake:
		case <-ctx.Done():
			return
		}
		for ctx.Err() == nil && q.pending() {
			t := q.clock.NewTimer(outcomeRetryDelay, "outcomes")
			select {
			case <-t.C:
			case <-ctx.Done():
			}
			t.Stop()
			q.recordAll(ctx)
		}
	}
}

func (q *outcomeQueue) pending() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.queued) > 0
}

func (q *outcomeQueue) recordAll(ctx context.Context) {
	q.mu.Lock()
	list := slices.Clone(q.queued)
	q.mu.Unlock()
	for _, x := range list {
		callCtx, cancel := context.WithTimeout(ctx, concludeTimeout)
		r, err := q.ledger.Conclude(callCtx, x.request)
		cancel()
		recorded, expired := err == nil && r.GetRecorded(), q.clock.Since(x.queuedAt) > outcomeExpiry
		if !recorded && !expired {
			continue
		}
		q.log.Info("queued outcome ended", slog.String(requestIDKey, x.request.GetID().GetRequestID()), slog.Bool("Recorded", recorded),
			slog.Int64("AgeMilli", q.clock.Since(x.queuedAt).Milliseconds()), slog.Any("Error", err))
		q.mu.Lock()
		q.queued = slices.DeleteFunc(q.queued, func(y *queuedOutcome) bool { return y == x })
		q.mu.Unlock()
	}
}
