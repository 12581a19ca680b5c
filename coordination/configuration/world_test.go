package configuration

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/coder/quartz"
	"github.com/rotisserie/eris"
	"go.uber.org/goleak"

	"shallotring.dev/coordination/registry"
	"shallotring.dev/protocol/keyvalue"
	"shallotring.dev/protocol/wire"
	standin "shallotring.dev/standin/keyvalue"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/resource"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// world is a key-value service on a passed-in clock with a client.
type world struct {
	clock   *quartz.Mock
	service *standin.Service
	client  *keyvalue.Client
	editor  *Editor
}

func newWorld(t *testing.T) *world {
	w := &world{clock: quartz.NewMock(t).WithLogger(quartz.NoOpLogger)}
	// The handler of a watch that has ended may hold its progress ticker a little longer; with a short interval that
	// ticker would come between two steps of the clock or not, depending on scheduling.
	w.service = standin.New(standin.WithClock(w.clock), standin.WithProgress(24*time.Hour))
	server := httptest.NewServer(w.service.Handler())
	transport := &http.Transport{}
	client, err := keyvalue.New([]string{server.URL}, keyvalue.WithTransport(w.service.Transport(transport)),
		keyvalue.WithTimeout(time.Minute))
	if err != nil {
		t.Fatal(err)
	}
	w.client = client
	w.editor = NewEditor(client, quartz.NewReal())
	t.Cleanup(func() {
		w.service.Close()
		transport.CloseIdleConnections()
		server.CloseClientConnections()
		server.Close()
	})
	return w
}

// link is the way from one process to the service; cut makes every call fail.
type link struct {
	world *world
	cut   bool
}

var errCaughtUp = eris.New("caught up")

func (l *link) List(ctx context.Context, prefix string) ([]keyvalue.Record, ident.Revision, error) {
	if l.cut {
		return nil, 0, keyvalue.ErrUnavailable
	}
	return l.world.client.List(ctx, prefix)
}

// Watch ends once it has delivered everything that is stored, so that a test can run it step by step.
func (l *link) Watch(ctx context.Context, prefix string, after ident.Revision, fn func([]keyvalue.Change, ident.Revision) error) error {
	target := ident.Revision(l.world.service.Revision())
	if l.cut {
		return keyvalue.ErrUnavailable
	}
	if after >= target {
		return errCaughtUp
	}
	return l.world.client.Watch(ctx, prefix, after, func(c []keyvalue.Change, at ident.Revision) error {
		if err := fn(c, at); err != nil {
			return err
		}
		if at >= target {
			return errCaughtUp
		}
		return nil
	})
}

// changer is a peer that a test can silence.
type changer struct {
	source *Source
	silent func() bool
}

func (c changer) Changes(ctx context.Context, q *wire.ChangesRequest) (*wire.ChangesResponse, error) {
	if c.silent() {
		return nil, eris.New("no answer")
	}
	q.WaitMilli = 0
	return c.source.Changes(ctx, q)
}

func never() bool { return false }

func entry(id string, zone ident.Zone) Identity {
	return Identity{Process: ident.Process(id), Role: registry.RoleEntry, Zone: zone}
}

func caller(name string, share float64) *resource.Caller {
	const digest = "0000000000000000000000000000000000000000000000000000000000000000"
	return &resource.Caller{Name: ident.Caller(name), TokenSHA256: digest, Share: share}
}

func callerName(name string) resource.Name {
	return resource.Name{Kind: resource.KindCaller, Name: name}
}

// set writes a caller whatever its revision is.
func (w *world) set(t *testing.T, name string, share float64) ident.Revision {
	t.Helper()
	_, expect, err := w.editor.Read(t.Context(), callerName(name))
	if err != nil {
		t.Fatal(err)
	}
	at, err := w.editor.Put(t.Context(), caller(name, share), expect)
	if err != nil {
		t.Fatal(err)
	}
	return at
}
