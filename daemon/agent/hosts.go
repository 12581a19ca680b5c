package agent

import (
	"context"
	"time"

	"shallotring.dev/protocol/hostlist"
	"shallotring.dev/state/ident"
)

// hostListPollInterval is the time between two reads of the host list. Together with the lag of the list it limits the time in
// which a leaving host still receives new tries.
const hostListPollInterval = time.Second

// HostList is the platform's list of live and leaving hosts.
type HostList interface {
	// Leaving reports whether the host is marked as leaving.
	Leaving(ctx context.Context, host ident.Host) (leaving bool, err error)
}

// WithHostList replaces the host list of the settings.
func WithHostList(l HostList) Option { return func(a *Agent) { a.hosts = l } }

func (a *Agent) setHostList() {
	if a.hosts == nil && a.settings.HostList != "" {
		a.hosts = hostlist.New(a.settings.HostList)
	}
}

// hostLeaving reports whether the list marks the host as leaving. If the list cannot be read, the host counts as not leaving,
// because an outage of the list must not drain the fleet.
func (a *Agent) hostLeaving(ctx context.Context) bool {
	if a.hosts == nil {
		return false
	}
	leaving, err := a.hosts.Leaving(ctx, a.settings.Host)
	if err != nil && ctx.Err() == nil {
		a.meters.hostListFailures().Inc()
		a.log.WarnContext(ctx, "host list cannot be read; the host does not count as leaving", errorAttr(err))
	}
	return err == nil && leaving
}

// watchHosts drains the agent once its host is leaving.
func (a *Agent) watchHosts() {
	for a.sleep(a.work, hostListPollInterval) == nil {
		if a.hostLeaving(a.work) {
			a.drain("host is leaving")
			return
		}
	}
}
