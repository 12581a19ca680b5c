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

// fixture is a stand-in key-value service on a mock clock, with a client and an editor.
type fixture struct {
	clock   *quartz.Mock
	service *standin.Service
	client  *keyvalue.Client
	editor  *Editor
}

func newFixture(t *testing.T) *fixture {
	w := &fixture{clock: quartz.NewMock(t).WithLogger(quartz.NoOpLogger)}
	// The handler of a closed watch may keep its progress ticker a little longer. With a short interval that ticker might
	// fire between two advances of the clock or not, depending on scheduling.
	w.service = standin.New(standin.WithClock(w.clock), standin.WithProgressInterval(24*time.Hour))
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

// link connects one process to the service; while cut is set, every call fails.
type link struct {
	fixture *fixture
	cut     bool
}

var errCaughtUp = eris.New("caught up")

func (l *link) List(ctx context.Context, prefix string) ([]keyvalue.Record, ident.Revision, error) {
	if l.cut {
		return nil, 0, keyvalue.ErrUnavailable
	}
	return l.fixture.client.List(ctx, prefix)
}

// Watch returns errCaughtUp once it has delivered everything that is stored, so that a test can run it step by step.
func (l *link) Watch(ctx context.Context, prefix string, after ident.Revision, fn func([]keyvalue.Change, ident.Revision) error) error {
	target := ident.Revision(l.fixture.service.Revision())
	if l.cut {
		return keyvalue.ErrUnavailable
	}
	if after >= target {
		return errCaughtUp
	}
	return l.fixture.client.Watch(ctx, prefix, after, func(c []keyvalue.Change, at ident.Revision) error {
		if err := fn(c, at); err != nil {
			return err
		}
		if at >= target {
			return errCaughtUp
		}
		return nil
	})
}

// sourcePeer is a peer that responds with the changes of a source; it does not respond while unresponsive returns true.
type sourcePeer struct {
	source       *Source
	unresponsive func() bool
}

func (c sourcePeer) Changes(ctx context.Context, q *wire.ChangesRequest) (*wire.ChangesResponse, error) {
	if c.unresponsive() {
		return nil, eris.New("no response")
	}
	q.WaitMilli = 0
	return c.source.Changes(ctx, q)
}

func neverUnresponsive() bool { return false }

func entryIdentity(id string, zone ident.Zone) Identity {
	return Identity{Process: ident.Process(id), Role: registry.RoleEntry, Zone: zone}
}

func callerResource(name string, share float64) *resource.Caller {
	const digest = "0000000000000000000000000000000000000000000000000000000000000000"
	return &resource.Caller{Name: ident.Caller(name), TokenSHA256: digest, Share: share}
}

func callerName(name string) resource.Name {
	return resource.Name{Kind: resource.KindCaller, Name: name}
}

// putCaller writes a caller, whatever its present revision.
func (w *fixture) putCaller(t *testing.T, name string, share float64) ident.Revision {
	t.Helper()
	_, expect, err := w.editor.Read(t.Context(), callerName(name))
	if err != nil {
		t.Fatal(err)
	}
	at, err := w.editor.Put(t.Context(), callerResource(name, share), expect)
	if err != nil {
		t.Fatal(err)
	}
	return at
}
