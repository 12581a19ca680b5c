package keyvalue

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/coder/quartz"
	"github.com/rotisserie/eris"

	"shallotring.dev/protocol/keyvalue/gateway"
	"shallotring.dev/state/ident"
)

// WatchIdleTimeout ends a watch that reports neither changes nor progress: an outage may have swallowed it.
const WatchIdleTimeout = 3 * time.Second

// Watcher is the part of the key-value service that a watch needs.
type Watcher interface {
	Watch(ctx context.Context, prefix string, after ident.Revision, fn func([]Change, ident.Revision) error) (err error)
}

// WatchUntilIdle is a watch that ends after WatchIdleTimeout without changes or progress; the caller reopens it at the same position.
// The tags name the timer to a mock clock.
func WatchUntilIdle(ctx context.Context, w Watcher, clock quartz.Clock, prefix string, after ident.Revision, fn func([]Change, ident.Revision) error, tags ...string) (err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idle := clock.AfterFunc(WatchIdleTimeout, cancel, tags...)
	defer idle.Stop()
	return w.Watch(ctx, prefix, after, func(changes []Change, at ident.Revision) error {
		idle.Reset(WatchIdleTimeout)
		return fn(changes, at)
	})
}

// Watch calls fn for each change after the revision until ctx ends or an error occurs. It ends with ErrUnavailable when another call
// shows that the service was away and responds again.
func (c *Client) Watch(ctx context.Context, prefix string, after ident.Revision, fn func([]Change, ident.Revision) error) (err error) {
	defer func() { err = eris.Wrapf(err, "watch %s", prefix) }()
	q := gateway.WatchRequest{Create: gateway.WatchCreate{
		Key:            []byte(prefix),
		RangeEnd:       gateway.PrefixEnd(prefix),
		StartRevision:  int64(after) + 1,
		ProgressNotify: true,
	}}
	ctx, stop := c.outage.Wait(ctx)
	defer stop()
	response, err := c.open(ctx, readOnly, gateway.PathWatch, q)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return statusError(readOnly, response)
	}
	lines := json.NewDecoder(response.Body)
	for {
		var a gateway.WatchResponse
		if err = lines.Decode(&a); err != nil {
			return eris.Wrap(ErrUnavailable, err.Error())
		}
		if err = handleResponse(a, fn); err != nil {
			return err
		}
	}
}

func handleResponse(a gateway.WatchResponse, fn func([]Change, ident.Revision) error) (err error) {
	switch {
	case a.Error != nil:
		return eris.Wrap(ErrUnavailable, a.Error.Message)
	case a.Result == nil:
		return eris.Wrap(ErrUnavailable, "watch response has no result")
	case a.Result.CompactRevision > 0:
		return ErrCompacted
	case a.Result.Canceled:
		return eris.Wrap(ErrUnavailable, "watch cancelled by the service")
	case a.Result.Created && len(a.Result.Events) == 0:
		// The revision of this response does not count as progress: changes with earlier revisions may still follow.
		return nil
	}
	changes := make([]Change, len(a.Result.Events))
	for i, e := range a.Result.Events {
		changes[i] = Change{Record: toRecord(e.KV), Deleted: e.Type == gateway.EventDelete}
	}
	return fn(changes, ident.Revision(a.Result.Header.Revision))
}
