package keyvalue_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coder/quartz"
	"github.com/rotisserie/eris"
	"go.uber.org/goleak"

	"shallotring.dev/protocol/keyvalue"
	standin "shallotring.dev/standin/keyvalue"
	"shallotring.dev/state/ident"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type fixture struct {
	service *standin.Service
	clock   *quartz.Mock
	client  *keyvalue.Client
}

// shortTimeout is the timeout of calls that get no response.
const shortTimeout = 300 * time.Millisecond

// closedAddress returns a base URL at which nothing listens.
func closedAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return "http://" + l.Addr().String()
}

func startFixture(t *testing.T, timeout time.Duration, first ...string) fixture {
	clock := quartz.NewMock(t)
	service := standin.New(standin.WithClock(clock))
	server := httptest.NewServer(service.Handler())
	client, err := keyvalue.New(append(first, server.URL), keyvalue.WithTimeout(timeout))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		client.Close()
		service.Close()
		server.CloseClientConnections()
		server.Close()
	})
	return fixture{service, clock, client}
}

// longTimeout is never reached by a call that gets a response.
const longTimeout = time.Minute

// TestCompareAndSwap guards against a writer with a stale revision that overwrites or deletes a newer value.
func TestCompareAndSwap(t *testing.T) {
	ctx := t.Context()
	f := startFixture(t, longTimeout)
	at, ok, err := f.client.CompareAndSwap(ctx, keyvalue.Swap{Key: "/a/1", Value: []byte("x")})
	if err != nil || !ok {
		t.Fatalf("create: swapped %v, error %v", ok, err)
	}
	r, found, err := f.client.Get(ctx, "/a/1")
	if err != nil || !found || string(r.Value) != "x" || r.ModRevision != at || r.CreateRevision != at {
		t.Fatalf("get = %+v, %v, %v; written at %d", r, found, err, at)
	}
	for name, s := range map[string]keyvalue.Swap{
		"create an existing key":     {Key: "/a/1", Value: []byte("y")},
		"stale revision":             {Key: "/a/1", Value: []byte("y"), Expect: at - 1},
		"delete at a later revision": {Key: "/a/1", Delete: true, Expect: at + 1},
		"write to an absent key":     {Key: "/a/2", Value: []byte("y"), Expect: at},
	} {
		if _, ok, err := f.client.CompareAndSwap(ctx, s); err != nil || ok {
			t.Errorf("%s: swapped %v, error %v", name, ok, err)
		}
	}
	if _, ok, err = f.client.CompareAndSwap(ctx, keyvalue.Swap{Key: "/a/1", Delete: true, Expect: at}); err != nil || !ok {
		t.Fatalf("delete: swapped %v, error %v", ok, err)
	}
	if _, found, err = f.client.Get(ctx, "/a/1"); err != nil || found {
		t.Fatalf("after delete: found %v, error %v", found, err)
	}
}

// TestList guards against a range that includes keys without the prefix.
func TestList(t *testing.T) {
	f := startFixture(t, longTimeout)
	for _, k := range []string{"/a/2", "/a/1", "/b", "/a"} {
		if _, ok, err := f.client.CompareAndSwap(t.Context(), keyvalue.Swap{Key: k, Value: []byte(k)}); err != nil || !ok {
			t.Fatal(ok, err)
		}
	}
	list, at, err := f.client.List(t.Context(), "/a/")
	if err != nil || len(list) != 2 || list[0].Key != "/a/1" || list[1].Key != "/a/2" || int64(at) != f.service.Revision() {
		t.Fatalf("list = %+v at %d, %v", list, at, err)
	}
}

// TestLease guards against a key that remains after its lease has expired, and against a lease that expires although it is kept
// alive.
func TestLease(t *testing.T) {
	ctx := t.Context()
	f := startFixture(t, longTimeout)
	id, err := f.client.Grant(ctx, 10*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	if _, ok, err := f.client.CompareAndSwap(ctx, keyvalue.Swap{Key: "/p/1", Value: []byte("x"), Lease: id}); err != nil || !ok {
		t.Fatal(ok, err)
	}
	f.clock.Advance(9 * time.Second).MustWait(ctx)
	if err = f.client.KeepAlive(ctx, id); err != nil {
		t.Fatal(err)
	}
	f.clock.Advance(9 * time.Second).MustWait(ctx)
	if _, found, err := f.client.Get(ctx, "/p/1"); err != nil || !found {
		t.Fatalf("kept alive: found %v, error %v", found, err)
	}
	f.clock.Advance(time.Second).MustWait(ctx)
	if _, found, err := f.client.Get(ctx, "/p/1"); err != nil || found {
		t.Fatalf("expired: found %v, error %v", found, err)
	}
	if err = f.client.KeepAlive(ctx, id); !eris.Is(err, keyvalue.ErrLeaseExpired) {
		t.Errorf("keep alive after expiry: %v", err)
	}
	if _, _, err = f.client.CompareAndSwap(ctx, keyvalue.Swap{Key: "/p/1", Lease: id}); !eris.Is(err, keyvalue.ErrLeaseExpired) {
		t.Errorf("write under an expired lease: %v", err)
	}
	if err = f.client.Revoke(ctx, id); !eris.Is(err, keyvalue.ErrLeaseExpired) {
		t.Errorf("revoke after expiry: %v", err)
	}
}

// TestErrorsUnderFaults guards against reporting that a write had no effect although it was or may have been sent.
func TestErrorsUnderFaults(t *testing.T) {
	swap := keyvalue.Swap{Key: "/a", Value: []byte("x")}
	write := func(ctx context.Context, c *keyvalue.Client) error {
		_, _, err := c.CompareAndSwap(ctx, swap)
		return err
	}
	read := func(ctx context.Context, c *keyvalue.Client) error {
		_, _, err := c.Get(ctx, "/a")
		return err
	}
	grant := func(ctx context.Context, c *keyvalue.Client) error {
		_, err := c.Grant(ctx, time.Second)
		return err
	}
	watch := func(ctx context.Context, c *keyvalue.Client) error {
		return c.Watch(ctx, "/a", 0, func([]keyvalue.Change, ident.Revision) error { return nil })
	}
	cases := []struct {
		name    string
		fault   func(*standin.Service)
		call    func(context.Context, *keyvalue.Client) error
		want    error
		written bool
	}{
		{"write, connection closed", func(s *standin.Service) { s.SetOutage(standin.OutageRefused) }, write, keyvalue.ErrOutcomeUnknown, false},
		{"write, no response", func(s *standin.Service) { s.SetOutage(standin.OutageSilent) }, write, keyvalue.ErrOutcomeUnknown, false},
		{"write, response lost", func(s *standin.Service) { s.LoseResponses(1) }, write, keyvalue.ErrOutcomeUnknown, true},
		{"write, service slower than the timeout", func(s *standin.Service) { s.SetLatency(time.Hour) }, write, keyvalue.ErrOutcomeUnknown, false},
		{"grant, response lost", func(s *standin.Service) { s.LoseResponses(1) }, grant, keyvalue.ErrOutcomeUnknown, false},
		{"read, connection closed", func(s *standin.Service) { s.SetOutage(standin.OutageRefused) }, read, keyvalue.ErrUnavailable, false},
		{"read, no response", func(s *standin.Service) { s.SetOutage(standin.OutageSilent) }, read, keyvalue.ErrUnavailable, false},
		{"watch, connection closed", func(s *standin.Service) { s.SetOutage(standin.OutageRefused) }, watch, keyvalue.ErrUnavailable, false},
		{"watch, compacted", func(s *standin.Service) { s.CompactAndCutWatches() }, watch, keyvalue.ErrCompacted, false},
	}
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			f := startFixture(t, shortTimeout)
			x.fault(f.service)
			if err := x.call(t.Context(), f.client); !eris.Is(err, x.want) {
				t.Errorf("error %v, want %v", err, x.want)
			}
			f.service.SetOutage(standin.OutageNone)
			f.service.SetLatency(0)
			c := f.client
			if _, found, err := c.Get(t.Context(), "/a"); err != nil || found != x.written {
				t.Errorf("found %v, error %v, want found %v", found, err, x.written)
			}
		})
	}
}

// TestUnreachableAddresses guards against a write that fails, or is sent twice, because the first address is unreachable.
func TestUnreachableAddresses(t *testing.T) {
	f := startFixture(t, longTimeout, closedAddress(t))
	at, ok, err := f.client.CompareAndSwap(t.Context(), keyvalue.Swap{Key: "/a", Value: []byte("x")})
	if err != nil || !ok {
		t.Fatal(at, ok, err)
	}
	if n := f.service.Calls()[standin.CallTxn]; n != 1 {
		t.Errorf("%d transactions, want 1", n)
	}
	unreachable, err := keyvalue.New([]string{closedAddress(t), closedAddress(t)})
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err = unreachable.CompareAndSwap(t.Context(), keyvalue.Swap{Key: "/a"}); !eris.Is(err, keyvalue.ErrUnavailable) {
		t.Errorf("all addresses unreachable: %v, want ErrUnavailable", err)
	}
}

// TestRefusedDialIsUnavailable guards against reporting a refused connection, after which a write certainly had no effect, like a
// connection that fails later. The stand-in's Transport simulates the refusal, so it guards against a fault there as well.
func TestRefusedDialIsUnavailable(t *testing.T) {
	service := standin.New()
	service.SetOutage(standin.OutageRefused)
	c, err := keyvalue.New([]string{"http://127.0.0.1:1"}, keyvalue.WithTransport(service.Transport(http.DefaultTransport)))
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err = c.CompareAndSwap(t.Context(), keyvalue.Swap{Key: "/a"}); !eris.Is(err, keyvalue.ErrUnavailable) {
		t.Errorf("refused dial: %v, want ErrUnavailable", err)
	}
}

// TestWatch guards against changes that are lost or delivered twice at the start of a watch, and against a watch that never
// reports progress.
func TestWatch(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	f := startFixture(t, longTimeout)
	put := func(key string, expect ident.Revision) ident.Revision {
		at, ok, err := f.client.CompareAndSwap(ctx, keyvalue.Swap{Key: key, Value: []byte("x"), Expect: expect})
		if err != nil || !ok {
			t.Fatal(ok, err)
		}
		return at
	}
	first := put("/a/1", 0)
	second := put("/a/2", 0)
	put("/b", 0)
	type call struct {
		changes []keyvalue.Change
		at      ident.Revision
	}
	calls, watchErr := make(chan call), make(chan error, 1)
	go func() {
		watchErr <- f.client.Watch(ctx, "/a/", first, func(list []keyvalue.Change, at ident.Revision) error {
			calls <- call{list, at}
			return nil
		})
	}()
	got := <-calls
	if len(got.changes) != 1 || got.changes[0].Key != "/a/2" || got.changes[0].ModRevision != second {
		t.Fatalf("first changes = %+v", got.changes)
	}
	if _, ok, err := f.client.CompareAndSwap(ctx, keyvalue.Swap{Key: "/a/2", Delete: true, Expect: second}); err != nil || !ok {
		t.Fatal(ok, err)
	}
	if got = <-calls; len(got.changes) != 1 || !got.changes[0].Deleted {
		t.Fatalf("delete = %+v", got.changes)
	}
	last := put("/b/other", 0)
	f.clock.Advance(time.Second).MustWait(ctx)
	if got = <-calls; len(got.changes) != 0 || got.at < last-1 {
		t.Fatalf("progress = %+v", got)
	}
	f.service.CutWatches()
	if err := <-watchErr; !eris.Is(err, keyvalue.ErrUnavailable) {
		t.Errorf("watch whose connection was closed: %v", err)
	}
}

// TestRecoveryEndsWatches guards against a process that waits for a watch that an outage has swallowed, although another call shows that
// the service responds again.
func TestRecoveryEndsWatches(t *testing.T) {
	waiting := make(chan bool)
	var ranges atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// The server notices that a client has left only after the body has been read.
		_, _ = io.Copy(io.Discard, r.Body)
		switch {
		case strings.HasSuffix(r.URL.Path, "/watch"):
			close(waiting)
			<-r.Context().Done()
		case ranges.Add(1) == 1:
			<-r.Context().Done()
		default:
			_, _ = io.WriteString(w, `{"header":{"revision":"7"}}`)
		}
	}))
	defer server.Close()
	client, err := keyvalue.New([]string{server.URL}, keyvalue.WithTimeout(shortTimeout))
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	ended := make(chan error, 1)
	go func() {
		ended <- client.Watch(ctx, "a/", 5, func([]keyvalue.Change, ident.Revision) error { return nil })
	}()
	<-waiting
	if _, _, err := client.List(t.Context(), "b/"); !eris.Is(err, keyvalue.ErrUnavailable) {
		t.Fatalf("list from a silent service: %v", err)
	}
	if _, _, err := client.List(t.Context(), "b/"); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-ended:
		if !eris.Is(err, keyvalue.ErrUnavailable) {
			t.Errorf("watch of the outage: %v", err)
		}
	case <-time.After(5 * time.Second):
		t.Error("the watch of the outage goes on after the recovery")
	}
}

// TestSilentAddress guards against a process that asks a silent member of the service in every call, because the call has no time left
// for the next address.
func TestSilentAddress(t *testing.T) {
	silent := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		// The server notices that a client has left only after the body has been read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}))
	defer silent.Close()
	f := startFixture(t, shortTimeout, silent.URL)
	if _, _, err := f.client.List(t.Context(), "a/"); !eris.Is(err, keyvalue.ErrUnavailable) {
		t.Fatalf("first call: %v", err)
	}
	if _, _, err := f.client.List(t.Context(), "a/"); err != nil {
		t.Errorf("second call: %v", err)
	}
}
