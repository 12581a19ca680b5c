package sidecar

import (
	"slices"

	"shallotring.dev/protocol/control"
)

// same reports whether two states tell an entry the same; the load is compared as well, since it changes with each request.
func same(a, b control.State) bool {
	return a.Endpoint == b.Endpoint && a.Born == b.Born && a.Up == b.Up && a.Leaving == b.Leaving && a.Pinned == b.Pinned && a.Orders == b.Orders &&
		a.Running == b.Running && a.Queued == b.Queued && a.Starting == b.Starting && a.Entries == b.Entries &&
		slices.Equal(a.Models, b.Models) && slices.Equal(a.Resident, b.Resident) && slices.Equal(a.Loading, b.Loading)
}
