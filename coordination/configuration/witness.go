package configuration

import (
	"context"

	"shallotring.dev/protocol/wire"
	"shallotring.dev/state/ident"
)

// Reporter is the part of the wire service Agent that a Source calls.
type Reporter interface {
	InForce(ctx context.Context, q *wire.InForceRequest) (a *wire.InForceResponse, err error)
}

// Witness is an agent, which knows from its own keep-alives whether the service responds.
type Witness struct {
	Process  ident.Process
	Reporter Reporter
}

// reportsServiceLoss reports whether the agent responds and has lost contact with the service. An agent's contact
// brings no configuration, so it does not count as contact of the polling process.
func (w Witness) reportsServiceLoss(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	a, err := w.Reporter.InForce(ctx, &wire.InForceRequest{Contact: true})
	return err == nil && !a.GetConfirmed()
}

// evenSample returns at most n elements, spread evenly over the list, so that all zones are covered.
func evenSample[T any](all []T, n int) (list []T) {
	if len(all) <= n {
		return all
	}
	for i := range n {
		list = append(list, all[i*len(all)/n])
	}
	return list
}
