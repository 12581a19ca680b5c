package frontend

import (
	"log/slog"
	"slices"

	"shallotring.dev/state/inventory"
)

// maxFormerStarts bounds the former incarnations of an endpoint that are remembered; discovery is seconds behind the agents.
const maxFormerStarts = 8

// startedAt reports whether the endpoint is the incarnation with a start time; 0 is unknown and equal to any.
func (e *endpoint) startedAt(startMilli int64) bool {
	return e.StartMilli == startMilli || e.StartMilli == 0 || startMilli == 0
}

// restarted returns the next incarnation of an endpoint, which holds nothing and has announced nothing.
func restarted(d inventory.Endpoint, startMilli int64) inventory.Endpoint {
	d.StartMilli, d.Leaving, d.Remaining, d.Models, d.Resident = startMilli, false, 0, nil, nil
	return d
}

// replaceEndpoint replaces an endpoint by its next incarnation at the same address, of which discovery or the agent has told first. Nothing
// that is known of the previous incarnation counts for it; the requests in progress continue. The lock is held.
func (f *Frontend) replaceEndpoint(previous *endpoint, d inventory.Endpoint) *endpoint {
	f.recordEnd(previous, f.clock.Now(), nextIncarnation)
	f.forgetEndpoint(previous, "restarted")
	e := f.addEndpoint(d)
	e.link = previous.link
	e.formerStarts = append(slices.Clone(previous.formerStarts), previous.StartMilli)
	if n := len(e.formerStarts); n > maxFormerStarts {
		e.formerStarts = e.formerStarts[n-maxFormerStarts:]
	}
	f.log.Info("endpoint restarted", slog.String("Endpoint", string(d.ID)), slog.Int64("Born", d.StartMilli), slog.Int64("FormerBorn", previous.StartMilli),
		slog.Bool("Leaving", d.Leaving))
	return e
}
