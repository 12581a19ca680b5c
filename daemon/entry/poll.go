package entry

import (
	"context"
	"sync"
	"time"

	"shallotring.dev/protocol/wire"
	"shallotring.dev/state/ident"
)

const (
	reportTimeout   = time.Second
	reportsInFlight = 16
)

// poll fetches load reports; each agent at most once per interval and all together within the rate.
func (e *Entry) poll(ctx context.Context) {
	var work sync.WaitGroup
	defer work.Wait()
	t := e.clock.NewTicker(time.Second/time.Duration(e.settings.ReportsPerSecond), "reports")
	defer t.Stop()
	last := make(map[ident.Endpoint]time.Time)
	places := make(chan struct{}, reportsInFlight)
	var round []Claim
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if len(round) == 0 {
			round = e.agents.Claims()
			forget(last, round)
		}
		now := e.clock.Now()
		for len(round) > 0 && now.Sub(last[round[0].Endpoint]) < e.settings.ReportInterval {
			round = round[1:]
		}
		if len(round) == 0 {
			continue
		}
		claim := round[0]
		select {
		case places <- struct{}{}:
		default:
			continue
		}
		round = round[1:]
		last[claim.Endpoint] = now
		work.Go(func() {
			defer func() { <-places }()
			e.report(ctx, claim)
		})
	}
}

// forget drops the times of endpoints without a claim.
func forget(last map[ident.Endpoint]time.Time, claims []Claim) {
	if len(last) <= len(claims) {
		return
	}
	listed := make(map[ident.Endpoint]bool, len(claims))
	for _, c := range claims {
		listed[c.Endpoint] = true
	}
	for name := range last {
		if !listed[name] {
			delete(last, name)
		}
	}
}

func (e *Entry) report(ctx context.Context, c Claim) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	r, err := e.agent(c.Address).Report(ctx, &wire.ReportRequest{})
	if err != nil {
		e.meters.reportsFailed.Inc()
		r = nil
	}
	select {
	case e.control.observed <- observed{claim: c, report: r}:
	case <-e.control.stopped:
	}
}

func (e *Entry) agent(address string) wire.Agent {
	return wire.NewAgentProtobufClient(e.scheme+address, e.client)
}
