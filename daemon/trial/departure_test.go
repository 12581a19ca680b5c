package trial_test

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"shallotring.dev/daemon/trial"
	"shallotring.dev/platform/standin"
)

const (
	// drainBound is the time after the store's confirmation that an endpoint leaves after which it may get no request; contactBound is the
	// time for which a disturbance of an entry's path to the store excuses the entry.
	drainBound   = 2 * time.Second
	contactBound = 3 * time.Second
	// cutOff is the entry that reaches the store through a relay.
	cutOff = 1
)

// departureTraffic is a deployment with two entries, one of them behind a relay, and the requests that reached endpoints.
type departureTraffic struct {
	*trial.Deployment
	relay *standin.Relay
	sent  atomic.Int64

	mu       sync.Mutex
	arrivals map[string][]time.Time
	outcomes []callerOutcome
}

// callerOutcome is what a caller got for one request.
type callerOutcome struct {
	sentAt time.Time
	served bool
}

func newDepartureTraffic(t *testing.T, size trial.Size) *departureTraffic {
	p := &departureTraffic{arrivals: make(map[string][]time.Time)}
	size.Entries = 1
	ctx, cancel := context.WithCancel(context.Background())
	d, err := trial.Start(ctx, slog.New(slog.DiscardHandler), size, standin.WithJournal(p.observe), standin.WithPace(2, 5*time.Millisecond))
	if err != nil {
		cancel()
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cancel()
		if err := d.Wait(); err != nil {
			t.Error(err)
		}
		if violations := d.Violations(); len(violations) > 0 {
			t.Error(violations)
		}
	})
	p.Deployment = d
	relay, err := standin.NewRelay(p.StoreAddress())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(relay.Close)
	p.relay = relay
	if err = p.AddEntryAt("edge-2", relay.Address()); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(10 * time.Second); p.lookup(0) != http.StatusOK || p.lookup(cutOff) != http.StatusOK; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the entries do not serve")
		}
	}
	return p
}

func (p *departureTraffic) observe(a standin.Arrival) {
	if !strings.HasPrefix(a.ID, "cut-") {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.arrivals[a.Engine] = append(p.arrivals[a.Engine], time.Now())
}

// lookup sends a request to the plain service through an entry.
func (p *departureTraffic) lookup(entry int) (status int) {
	id := fmt.Sprint([]string{"calm-", "cut-"}[entry], p.sent.Add(1))
	return p.sendThrough(entry, standin.Call{ID: id, Method: http.MethodGet, Target: fmt.Sprint("/l/", id), Host: trial.Host, Timeout: time.Second})
}

// generate sends a request to a model through the entry that may be cut off.
func (p *departureTraffic) generate(r *rand.Rand) (status int) {
	call := p.ModelRequest(fmt.Sprint("cut-", p.sent.Add(1)))
	call.Model, call.Own.ID, call.Timeout = fmt.Sprint(trial.Model, "/a", 1+r.IntN(trial.AdapterSlots)), uint64(p.sent.Load()), 2*time.Second
	return p.sendThrough(cutOff, call)
}

func (p *departureTraffic) sendThrough(entry int, call standin.Call) (status int) {
	start := time.Now()
	status, _ = p.Exchange(p.Fronts[entry], call)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outcomes = append(p.outcomes, callerOutcome{sentAt: start, served: status == http.StatusOK})
	return status
}

// run sends requests until done is closed; the entry that may be cut off gets none while quiet is set.
func (p *departureTraffic) run(quiet *atomic.Bool, done <-chan struct{}) {
	var wg sync.WaitGroup
	every := func(interval time.Duration, act func(r *rand.Rand)) {
		r := rand.New(rand.NewPCG(uint64(interval), 1))
		wg.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(interval):
				}
				act(r)
			}
		})
	}
	for i := range 3 {
		every(time.Duration(40+i)*time.Millisecond, func(r *rand.Rand) {
			if quiet.Load() {
				return
			}
			p.lookup(cutOff)
			p.generate(r)
		})
	}
	every(100*time.Millisecond, func(*rand.Rand) { p.lookup(0) })
	wg.Wait()
}

// after returns the requests that reached an endpoint through the entry that was cut off later than a time.
func (p *departureTraffic) after(engine string, at time.Time) (n int, last time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range p.arrivals[engine] {
		if a.After(at) {
			n++
			last = a.Sub(at)
		}
	}
	return n, last
}

// served returns the share of the requests sent in a span that were served.
func (p *departureTraffic) served(from, to time.Time) (share float64, sent int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	served := 0
	for _, o := range p.outcomes {
		if o.sentAt.Before(from) || !o.sentAt.Before(to) {
			continue
		}
		if sent++; o.served {
			served++
		}
	}
	return float64(served) / float64(max(sent, 1)), sent
}

// departure is one way in which the path of an entry to the store fails while endpoints leave.
type departure struct {
	name string
	// path is that of the relay from the beginning of the disturbance, for a duration; once is done at its beginning, repeat every second.
	path     standin.Path
	duration time.Duration
	once     func(*standin.Relay)
	repeat   func(*standin.Relay)
	// leaveAt is the time of the leaving, from the beginning of the disturbance. drainFor is the time for which the endpoint is in discovery
	// as leaving before it is removed, 0 if it is removed without that.
	leaveAt  time.Duration
	drainFor time.Duration
	// quiet is set if the entry that is cut off gets no requests during the disturbance.
	quiet bool
	// compact makes the store drop its history before the end.
	compact bool
	// all makes all endpoints of both services leave, and new ones begin.
	all bool
	// excuse is set if the disturbance excuses the entry for contactBound after its end.
	excuse bool
}

// TestDepartedEndpointGetsNothing guards against requests to an endpoint that has left discovery while an entry could not reach the store: they
// reach it later than the bounds allow after the entry is back in touch.
func TestDepartedEndpointGetsNothing(t *testing.T) {
	silence := func(r *standin.Relay) { r.Silence() }
	reset := func(r *standin.Relay) { r.Reset() }
	blink := func(r *standin.Relay) {
		r.SetPath(standin.CutPath)
		time.AfterFunc(700*time.Millisecond, func() { r.SetPath(standin.OpenPath) })
	}
	for _, x := range []departure{
		{name: "calm", leaveAt: time.Second},
		{name: "calls vanish for 4 s", path: standin.CutPath, duration: 4 * time.Second, leaveAt: time.Second, excuse: true},
		{name: "calls vanish for 9 s", path: standin.CutPath, duration: 9 * time.Second, leaveAt: time.Second, excuse: true},
		{name: "calls vanish until just after it", path: standin.CutPath, duration: 5 * time.Second, leaveAt: 4500 * time.Millisecond, excuse: true},
		{name: "calls vanish from just after it", path: standin.CutPath, duration: 3 * time.Second, leaveAt: -100 * time.Millisecond, excuse: true},
		{name: "connections are refused", path: standin.RefusedPath, duration: 6 * time.Second, leaveAt: 2 * time.Second, excuse: true},
		{name: "responses are lost", path: standin.UnansweredPath, duration: 6 * time.Second, leaveAt: 2 * time.Second, excuse: true},
		{name: "no requests meanwhile", path: standin.CutPath, duration: 6 * time.Second, leaveAt: 2 * time.Second, quiet: true, excuse: true},
		{name: "it drains first", path: standin.CutPath, duration: 6 * time.Second, leaveAt: time.Second, drainFor: time.Second, excuse: true},
		{name: "history is lost", path: standin.CutPath, duration: 6 * time.Second, leaveAt: 2 * time.Second, compact: true, excuse: true},
		{name: "all leave", path: standin.CutPath, duration: 6 * time.Second, leaveAt: 2 * time.Second, all: true, excuse: true},
		{name: "connections are reset", repeat: reset, duration: 8 * time.Second, leaveAt: 3 * time.Second, excuse: true},
		{name: "calls vanish now and then", repeat: blink, duration: 9 * time.Second, leaveAt: 3 * time.Second, excuse: true},
		{name: "open connections go silent", once: silence, leaveAt: 200 * time.Millisecond, excuse: true},
		{name: "open connections have gone silent", once: silence, leaveAt: 3500 * time.Millisecond},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			playDeparture(t, x)
		})
	}
}

func playDeparture(t *testing.T, x departure) {
	p := newDepartureTraffic(t, trial.Size{Engines: 3, Instances: 3})
	done, quiet, stopped := make(chan struct{}), &atomic.Bool{}, make(chan struct{})
	go func() {
		defer close(stopped)
		p.run(quiet, done)
	}()
	time.Sleep(2 * time.Second)
	leaving := []*standin.Engine{p.Engines[0], p.Instances[0]}
	ids := []string{"i-0", "i-s0"}
	if x.all {
		leaving, ids = append(append([]*standin.Engine(nil), p.Engines[:2]...), p.Instances[:2]...), []string{"i-0", "i-1", "i-s0", "i-s1"}
	}
	stay := heartbeats(p, leaving)
	defer stay()
	start := time.Now()
	var left time.Time
	leave := func() {
		if x.drainFor > 0 {
			for _, e := range leaving {
				e.Drain()
			}
			left = time.Now()
			time.Sleep(x.drainFor)
		} else {
			left = time.Now()
		}
		for _, e := range leaving {
			e.Remove()
		}
	}
	if x.leaveAt < 0 {
		leave()
		time.Sleep(-x.leaveAt)
		start = time.Now()
	}
	p.relay.SetPath(x.path)
	quiet.Store(x.quiet)
	if x.once != nil {
		x.once(p.relay)
	}
	end := start.Add(x.duration)
	for at := start; ; at = at.Add(100 * time.Millisecond) {
		time.Sleep(time.Until(at))
		if left.IsZero() && !at.Before(start.Add(x.leaveAt)) {
			leave()
		}
		if x.repeat != nil && at.Sub(start)%time.Second == 0 && at.Before(end) {
			x.repeat(p.relay)
		}
		if !left.IsZero() && !at.Before(end) {
			break
		}
	}
	if x.compact {
		p.Store.Compact()
	}
	p.relay.SetPath(standin.OpenPath)
	if x.duration > 0 {
		end = time.Now()
	}
	quiet.Store(false)
	bound := left.Add(drainBound)
	if excused := end.Add(contactBound); x.excuse && excused.After(bound) {
		bound = excused
	}
	time.Sleep(time.Until(bound.Add(2 * time.Second)))
	close(done)
	<-stopped
	for _, id := range ids {
		if n, last := p.after(id, bound); n > 0 {
			t.Errorf("%d requests reached %s too late, the last one %v after the bound, %v after it had left", n, id, last, bound.Add(last).Sub(left))
		}
	}
	if share, sent := p.served(bound, time.Now()); share < 1 {
		t.Errorf("%.3f of %d requests served after the bound", share, sent)
	}
}

// heartbeats makes all endpoints but some write their discovery entries at intervals, as they do on the platform; stop ends that.
func heartbeats(p *departureTraffic, except []*standin.Engine) (stop func()) {
	done, stopped := make(chan struct{}), make(chan struct{})
	leaving := make(map[*standin.Engine]bool)
	for _, e := range except {
		leaving[e] = true
	}
	go func() {
		defer close(stopped)
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			case <-time.After(200 * time.Millisecond):
			}
			all := append(append([]*standin.Engine(nil), p.Engines...), p.Instances...)
			if e := all[i%len(all)]; !leaving[e] {
				e.Register()
			}
		}
	}()
	return func() {
		close(done)
		<-stopped
	}
}

// TestOutageOfTheStoreTakesNoEndpoint guards against requests that are refused, or that all go to the first endpoints that are back, when the
// discovery entries of all endpoints expire while the store is away and the live ones are back after its return.
func TestOutageOfTheStoreTakesNoEndpoint(t *testing.T) {
	for name, away := range map[string]func(*standin.Store, bool){"down": (*standin.Store).SetDown, "silent": (*standin.Store).SetSilent} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newDepartureTraffic(t, trial.Size{Engines: 3, Instances: 3})
			done, stopped := make(chan struct{}), make(chan struct{})
			go func() {
				defer close(stopped)
				p.run(&atomic.Bool{}, done)
			}()
			time.Sleep(2 * time.Second)
			all := append(append([]*standin.Engine(nil), p.Engines...), p.Instances...)
			start := time.Now()
			away(p.Store, true)
			time.Sleep(4 * time.Second)
			for _, e := range all {
				e.Remove()
			}
			time.Sleep(2 * time.Second)
			away(p.Store, false)
			end := time.Now()
			for _, e := range all {
				time.Sleep(1500 * time.Millisecond / time.Duration(len(all)))
				e.Register()
			}
			time.Sleep(time.Until(end.Add(2 * contactBound)))
			close(done)
			<-stopped
			if share, sent := p.served(start, end.Add(2*contactBound)); share < 1 {
				t.Errorf("%.4f of %d requests served", share, sent)
			}
			for i := range p.Instances {
				if n, _ := p.after(fmt.Sprint("i-s", i), end); n < 10 {
					t.Errorf("instance %d got %d requests after the return", i, n)
				}
			}
		})
	}
}
