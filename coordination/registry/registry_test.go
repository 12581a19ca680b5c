package registry

import (
	"context"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/coder/quartz"
	"go.uber.org/goleak"

	"shallotring.dev/protocol/keyvalue"
	standin "shallotring.dev/standin/keyvalue"
	"shallotring.dev/state/ident"
	"shallotring.dev/transport/timeline"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type fixture struct {
	clock   *quartz.Mock
	service *standin.Service
	client  *keyvalue.Client
}

func newFixture(t *testing.T) fixture {
	f := fixture{clock: quartz.NewMock(t).WithLogger(quartz.NoOpLogger)}
	f.service = standin.New(standin.WithClock(f.clock))
	server := httptest.NewServer(f.service.Handler())
	client, err := keyvalue.New([]string{server.URL})
	if err != nil {
		t.Fatal(err)
	}
	f.client = client
	t.Cleanup(func() {
		client.Close()
		f.service.Close()
		server.CloseClientConnections()
		server.Close()
	})
	return f
}

// advance moves the clock past any number of timers; a single call of the mock may not pass more than one.
func (f fixture) advance(t *testing.T, d time.Duration) {
	for d > 0 {
		step := d
		if next, ok := f.clock.Peek(); ok {
			step = min(d, next)
		}
		f.clock.Advance(step).MustWait(t.Context())
		d -= step
	}
}

func (f fixture) presence(address string) *Presence {
	return NewPresence(f.client, f.clock, ProcessRecord{Process: "p", Role: RoleEntry, Address: address})
}

func (f fixture) view(t *testing.T) *View {
	v := NewView(f.client, f.clock, timeline.Discard())
	if err := v.Read(t.Context()); err != nil {
		t.Fatal(err)
	}
	return v
}

// TestPresence guards against a live process that is missing from the registry after lost responses or an expired lease, and
// against a record that remains after its process has stopped.
func TestPresence(t *testing.T) {
	ctx := t.Context()
	f := newFixture(t)
	p := f.presence("127.0.0.1:1")
	steps := []struct {
		name        string
		before      func()
		wantErr     bool
		wantPresent bool
	}{
		{"response to the grant lost", func() { f.service.LoseResponses(1) }, true, false},
		{"first announcement", func() {}, false, true},
		{"kept alive", func() { f.advance(t, 8*time.Second) }, false, true},
		{"kept alive again", func() { f.advance(t, 8*time.Second) }, false, true},
		{"lease expired while paused", func() { f.advance(t, 11*time.Second) }, false, true},
		{"response to a keep-alive lost", func() { f.service.LoseResponses(1) }, true, true},
	}
	for _, x := range steps {
		x.before()
		if err := p.step(ctx); (err != nil) != x.wantErr {
			t.Errorf("%s: %v", x.name, err)
		}
		if n := len(f.view(t).Processes()); (n == 1) != x.wantPresent {
			t.Errorf("%s: %d processes", x.name, n)
		}
	}
	p.release(ctx)
	if n := len(f.view(t).Processes()); n != 0 {
		t.Errorf("%d processes after the release", n)
	}
}

// TestAnnounceResponseLost guards against a process that cannot announce itself because its own record is already stored: the
// write took effect, but its response was lost.
func TestAnnounceResponseLost(t *testing.T) {
	f := newFixture(t)
	p := f.presence("127.0.0.1:1")
	var err error
	if p.lease, err = f.client.Grant(t.Context(), LeaseTime); err != nil {
		t.Fatal(err)
	}
	f.service.LoseResponses(1)
	if err = p.announce(t.Context()); err == nil {
		t.Error("no error although the response was lost")
	}
	if err = p.step(t.Context()); err != nil || !p.recordStored {
		t.Errorf("present %v, %v", p.recordStored, err)
	}
}

// TestViewKeepsRecordsAfterOutage guards against a view that loses all processes because their leases expire while the key-value
// service is unavailable.
func TestViewKeepsRecordsAfterOutage(t *testing.T) {
	ctx := t.Context()
	f := newFixture(t)
	p := f.presence("127.0.0.1:1")
	if err := p.step(ctx); err != nil {
		t.Fatal(err)
	}
	v := f.view(t)
	f.service.SetOutage(standin.OutageRefused)
	f.advance(t, 20*time.Second)
	if err := v.Read(ctx); err == nil || len(v.Processes()) != 1 {
		t.Errorf("during the outage: %d processes, %v", len(v.Processes()), err)
	}
	f.service.SetOutage(standin.OutageNone)
	if err := v.Read(ctx); err != nil || len(v.Processes()) != 1 {
		t.Errorf("right after the outage: %d processes, %v", len(v.Processes()), err)
	}
	for range 5 {
		f.advance(t, LeaseTime/5)
		if err := v.Read(ctx); err != nil {
			t.Fatal(err)
		}
	}
	if n := len(v.Processes()); n != 0 {
		t.Errorf("%d processes one lease time after the outage", n)
	}
	if err := p.step(ctx); err != nil {
		t.Fatal(err)
	}
	if err := v.Read(ctx); err != nil || len(v.Processes()) != 1 {
		t.Errorf("after a new announcement: %d processes, %v", len(v.Processes()), err)
	}
	p.release(ctx)
	if err := v.Read(ctx); err != nil || len(v.Processes()) != 0 {
		t.Errorf("after an ordinary stop: %d processes, %v", len(v.Processes()), err)
	}
}

// TestViewRun guards against a view that misses records after a gap in its watch, and against one that does not stop.
func TestViewRun(t *testing.T) {
	f := newFixture(t)
	ctx, cancel := context.WithCancel(t.Context())
	v := NewView(f.client, quartz.NewReal(), timeline.Discard())
	done := make(chan error)
	go func() { done <- v.Run(ctx) }()
	for i := range 3 {
		key := ClaimKey(ident.Endpoint("e" + strconv.Itoa(i)))
		if _, ok, err := f.client.CompareAndSwap(ctx, keyvalue.Swap{Key: key, Value: []byte("{}")}); err != nil || !ok {
			t.Fatal(ok, err)
		}
		for len(v.Claims()) != i+1 {
			<-v.Changed()
		}
		f.service.CompactAndCutWatches()
	}
	c, ok := v.Claim("e0")
	if !ok || c.Incarnation == 0 {
		t.Errorf("claim %+v, %v", c, ok)
	}
	cancel()
	<-done
}

// TestViewRunProcesses guards against an agent that opens a watch of claims, which it does not need; with many agents these
// watches burden the key-value service.
func TestViewRunProcesses(t *testing.T) {
	f := newFixture(t)
	ctx, cancel := context.WithCancel(t.Context())
	v := NewView(f.client, quartz.NewReal(), timeline.Discard())
	done := make(chan error)
	go func() { done <- v.RunProcesses(ctx) }()
	<-v.ProcessesRead()
	if err := f.presence("a").step(ctx); err != nil {
		t.Fatal(err)
	}
	for len(v.Processes()) == 0 {
		<-v.Changed()
	}
	if calls := f.service.Calls(); calls[standin.CallWatch] != 1 {
		t.Errorf("%d watches, want 1", calls[standin.CallWatch])
	}
	cancel()
	<-done
}
