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

// Call is the kind of a call to the service.
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

// Outage is the way in which the service is unavailable.
type Outage int

// Outages.
const (
	// OutageNone means that the service is available.
	OutageNone Outage = iota
	// OutageRefused closes the connection of each call before the call has an effect. A client that uses Transport gets
	// a dial error instead.
	OutageRefused
	// OutageSilent sends no response until the client cancels the call; the call has no effect.
	OutageSilent
)

type faults struct {
	latency time.Duration
	outage  Outage
	// responsesToLose is the number of calls other than range and watch whose responses are still to be lost.
	responsesToLose int
}

// Fault is the body of POST /fault; it replaces the active fault.
type Fault struct {
	LatencyMilli int64
	// Outage is "", "refused" or "silent".
	Outage string
	// LoseAnswers is the number of writes whose responses are lost.
	LoseAnswers int
}

var outageByName = map[string]Outage{"": OutageNone, "refused": OutageRefused, "silent": OutageSilent}

func (s *Service) serveFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	o, ok := outageByName[f.Outage]
	if !ok {
		http.Error(w, "unknown outage "+f.Outage, http.StatusBadRequest)
		return
	}
	s.SetLatency(time.Duration(f.LatencyMilli) * time.Millisecond)
	s.SetOutage(o)
	s.LoseResponses(f.LoseAnswers)
}

// SetLatency sets the delay of each call before it takes effect.
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

// LoseResponses makes the next n writes (transactions and calls that change leases) take effect without a response.
func (s *Service) LoseResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.responsesToLose = n
}

// CompactAndCutWatches ends all watches and compacts the whole history, so that no watch can resume without a full read.
func (s *Service) CompactAndCutWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compact(s.revision)
	s.cutWatches()
}

// CutWatches ends all watches and retains the history.
func (s *Service) CutWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cutWatches()
}

func (s *Service) cutWatches() {
	close(s.watchesCut)
	s.watchesCut = make(chan struct{})
}

// Calls returns the number of calls of each kind; a watch counts as one call.
func (s *Service) Calls() map[Call]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[Call]int, len(s.calls))
	for k, n := range s.calls {
		counts[k] = n
	}
	return counts
}

// beginCall counts a call and applies latency and outage; ok is false if the call gets no response.
func (s *Service) beginCall(ctx context.Context, c Call) (ok bool) {
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

// loseResponse reports whether the response to a write is to be lost, and counts it.
func (s *Service) loseResponse() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.responsesToLose == 0 {
		return false
	}
	s.faults.responsesToLose--
	return true
}

// Transport returns a transport to the service that returns a dial error during OutageRefused.
func (s *Service) Transport(base http.RoundTripper) http.RoundTripper {
	return transport{service: s, base: base}
}

type transport struct {
	service *Service
	base    http.RoundTripper
}

// RoundTrip makes one call.
func (t transport) RoundTrip(request *http.Request) (response *http.Response, err error) {
	t.service.mu.Lock()
	refused := t.service.faults.outage == OutageRefused
	if refused {
		t.service.calls[callKind(request.URL.Path)]++
	}
	t.service.mu.Unlock()
	if refused {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	return t.base.RoundTrip(request)
}

// callKind returns the kind of the call to a path of the gateway.
func callKind(path string) Call {
	if path == gateway.PathWatch {
		return CallWatch
	}
	return Call(path[strings.LastIndexByte(path, '/')+1:])
}
