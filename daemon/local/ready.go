package local

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

const readyPollInterval = 50 * time.Millisecond

// WaitReady returns once the entry's configuration lists every adapter, every endpoint is claimed by an agent, and all processes
// report that they are ready.
func (d *Deployment) WaitReady(ctx context.Context) (err error) {
	defer func() { err = eris.Wrap(err, "wait until the local deployment is ready") }()
	t := time.NewTicker(readyPollInterval)
	defer t.Stop()
	for {
		if d.ready(ctx) {
			return nil
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (d *Deployment) ready(ctx context.Context) bool {
	if len(d.entry.Configuration().Current().Adapters()) < adapterCount || d.entry.ClaimCount() < len(d.agents) {
		return false
	}
	for _, a := range d.agents {
		if !respondsOK(ctx, "http://"+a.AdminAddress()+"/readyz") {
			return false
		}
	}
	return respondsOK(ctx, "http://"+d.AdminAddress()+"/readyz")
}

func respondsOK(ctx context.Context, url string) bool {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return false
	}
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return false
	}
	defer a.Body.Close()
	return a.StatusCode == http.StatusOK
}
