package keyvalue

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	"shallotring.dev/protocol/keyvalue/gateway"
)

// Call is the kind of a call.
type Call string

// Kinds of calls.
const (
	CallRange     Call = "range"
	CallTxn       Call = "txn"
	CallGrant     Call = "grant"
	CallKeepAlive Call = "keepalive"
	CallRevoke    Call = "revoke"
	CallWatch     Call = "watch"
)

// Outage is the way in which the service is down.
type Outage int

// Outages.
const (
	// OutageNone means that the service works.
	OutageNone Outage = iota
	// OutageRefused breaks each connection before the call has an effect; Transport fails the dial.
	OutageRefused
	// OutageSilent gives no answer until the caller gives up; the call has no effect.
	OutageSilent
)

type faults struct {
	latency time.Duration
	outage  Outage
	// lost counts the writes whose answers are still to be lost.
	lost int
}

// Fault is the body of POST /fault; it replaces the fault in force.
type Fault struct {
	LatencyMilli int64
	// Outage is "", "refused" or "silent".
	Outage string
	// LoseAnswers is the number of writes whose answers are lost.
	LoseAnswers int
}

var outages = map[string]Outage{"": OutageNone, "refused": OutageRefused, "silent": OutageSilent}

func (s *Service) serveFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	o, ok := outages[f.Outage]
	if !ok {
		http.Error(w, "unknown outage "+f.Outage, http.StatusBadRequest)
		return
	}
	s.SetLatency(time.Duration(f.LatencyMilli) * time.Millisecond)
	s.SetOutage(o)
	s.LoseAnswers(f.LoseAnswers)
}

// SetLatency delays each call before it takes effect.
func (s *Service) SetLatency(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.latency = d
}

// SetOutage starts or ends an outage; a start ends all watches.
func (s *Service) SetOutage(o Outage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.outage = o
	if o != OutageNone {
		s.cutWatches()
	}
}

// LoseAnswers loses the answers to the next n writes after they took effect.
func (s *Service) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.lost = n
}

// GapWatches ends all watches and drops the history, so that no watch can resume without a full read.
func (s *Service) GapWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compact(s.revision)
	s.cutWatches()
}

// CutWatches ends all watches and keeps the history.
func (s *Service) CutWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cutWatches()
}

func (s *Service) cutWatches() {
	close(s.cut)
	s.cut = make(chan struct{})
}

// Calls returns the number of calls of each kind; a watch counts as one.
func (s *Service) Calls() map[Call]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[Call]int, len(s.calls))
	for k, n := range s.calls {
		counts[k] = n
	}
	return counts
}

// begin counts a call and applies latency and outage; ok is false if the call gets no answer.
func (s *Service) begin(ctx context.Context, c Call) (ok bool) {
	s.mu.Lock()
	s.calls[c]++
	f := s.faults
	s.mu.Unlock()
	if f.latency > 0 {
		t := s.clock.NewTimer(f.latency)
		defer t.Stop()
		select {
		case <-t.C:
		case <-ctx.Done():
			return false
		}
	}
	switch f.outage {
	case OutageRefused:
		return false
	case OutageSilent:
		<-ctx.Done()
		return false
	}
	return true
}

func (s *Service) loses() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.lost == 0 {
		return false
	}
	s.faults.lost--
	return true
}

// Transport returns a transport to the service that fails the dial while connections are refused.
func (s *Service) Transport(base http.RoundTripper) http.RoundTripper {
	return transport{service: s, base: base}
}

type transport struct {
	service *Service
	base    http.RoundTripper
}

// RoundTrip makes one call.
func (t transport) RoundTrip(q *http.Request) (a *http.Response, err error) {
	t.service.mu.Lock()
	refused := t.service.faults.outage == OutageRefused
	if refused {
		t.service.calls[callOf(q.URL.Path)]++
	}
	t.service.mu.Unlock()
	if refused {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	return t.base.RoundTrip(q)
}

func callOf(path string) Call {
	if path == gateway.PathWatch {
		return CallWatch
	}
	return Call(path[strings.LastIndexByte(path, '/')+1:])
}
