package entry

import (
	"context"
	"sync"
	"time"

	"shallotring.dev/protocol/wire"
	"shallotring.dev/state/ident"
)

const (
	reportTimeout      = time.Second
	maxReportsInFlight = 16
)

// pollReports fetches the load reports of the agents: one agent at most once per ReportInterval, and at most
// ReportsPerSecond from all agents together.
func (e *Entry) pollReports(ctx context.Context) {
	var work sync.WaitGroup
	defer work.Wait()
	t := e.clock.NewTicker(time.Second/time.Duration(e.settings.ReportsPerSecond), "reports")
	defer t.Stop()
	lastPoll := make(map[ident.Endpoint]time.Time)
	inFlight := make(chan struct{}, maxReportsInFlight)
	var pending []Claim
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if len(pending) == 0 {
			pending = e.agents.Claims()
			forgetUnclaimed(lastPoll, pending)
		}
		now := e.clock.Now()
		for len(pending) > 0 && now.Sub(lastPoll[pending[0].Endpoint]) < e.settings.ReportInterval {
			pending = pending[1:]
		}
		if len(pending) == 0 {
			continue
		}
		claim := pending[0]
		select {
		case inFlight <- struct{}{}:
		default:
			continue
		}
		pending = pending[1:]
		lastPoll[claim.Endpoint] = now
		work.Go(func() {
			defer func() { <-inFlight }()
			e.fetchReport(ctx, claim)
		})
	}
}

// forgetUnclaimed removes the poll times of endpoints without a claim.
func forgetUnclaimed(lastPoll map[ident.Endpoint]time.Time, claims []Claim) {
	if len(lastPoll) <= len(claims) {
		return
	}
	listed := make(map[ident.Endpoint]bool, len(claims))
	for _, c := range claims {
		listed[c.Endpoint] = true
	}
	for name := range lastPoll {
		if !listed[name] {
			delete(lastPoll, name)
		}
	}
}

// fetchReport fetches one load report and passes it, or the failure, to the placer.
func (e *Entry) fetchReport(ctx context.Context, c Claim) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	r, err := e.agentClient(c.Address).Report(ctx, &wire.ReportRequest{})
	if err != nil {
		e.meters.reportsFailed.Inc()
		r = nil
	}
	select {
	case e.placer.pollResults <- pollResult{claim: c, report: r, err: err}:
	case <-e.placer.stopped:
	}
}

func (e *Entry) agentClient(address string) wire.Agent {
	return wire.NewAgentProtobufClient(e.agentScheme+address, e.client)
}
