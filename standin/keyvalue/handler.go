package keyvalue

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"shallotring.dev/protocol/keyvalue/gateway"
)

// Handler serves the JSON gateway and POST /fault, which takes a Fault.
func (s *Service) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post(gateway.PathRange, call(s, CallRange, func(q gateway.RangeRequest) (any, *gateway.Error) {
		return s.read(q), nil
	}))
	r.Post(gateway.PathTxn, call(s, CallTxn, func(q gateway.TxnRequest) (any, *gateway.Error) {
		return s.txn(q)
	}))
	r.Post(gateway.PathGrant, call(s, CallGrant, func(q gateway.Lease) (any, *gateway.Error) {
		return gateway.Lease{ID: s.grant(time.Duration(q.TTL) * time.Second), TTL: q.TTL}, nil
	}))
	r.Post(gateway.PathKeepAlive, call(s, CallKeepAlive, func(q gateway.Lease) (any, *gateway.Error) {
		ttl := s.keepAlive(q.ID)
		return gateway.KeepAliveResponse{Result: gateway.Lease{ID: q.ID, TTL: int64(ttl / time.Second)}}, nil
	}))
	r.Post(gateway.PathRevoke, call(s, CallRevoke, func(q gateway.Lease) (any, *gateway.Error) {
		if !s.Expire(q.ID) {
			return nil, leaseNotFound()
		}
		return struct{}{}, nil
	}))
	r.Post(gateway.PathWatch, s.serveWatch)
	r.Post("/fault", s.serveFault)
	return r
}

func call[Q any](s *Service, c Call, fn func(Q) (any, *gateway.Error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var q Q
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 4*MaxValueBytes)).Decode(&q); err != nil {
			writeError(w, &gateway.Error{Code: gateway.CodeInvalidArgument, Message: err.Error()})
			return
		}
		if !s.begin(r.Context(), c) {
			panic(http.ErrAbortHandler)
		}
		answer, fault := fn(q)
		if c != CallRange && s.loses() {
			panic(http.ErrAbortHandler)
		}
		if fault != nil {
			writeError(w, fault)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// A failed write means that the caller has gone.
		_ = json.NewEncoder(w).Encode(answer)
	}
}

func writeError(w http.ResponseWriter, e *gateway.Error) {
	status := http.StatusBadRequest
	if e.Code == gateway.CodeNotFound {
		status = http.StatusNotFound
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(e)
}

func (s *Service) serveWatch(w http.ResponseWriter, r *http.Request) {
	var q gateway.WatchRequest
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		writeError(w, &gateway.Error{Code: gateway.CodeInvalidArgument, Message: err.Error()})
		return
	}
	if !s.begin(r.Context(), CallWatch) {
		panic(http.ErrAbortHandler)
	}
	send := func(a gateway.WatchResult) error {
		if err := json.NewEncoder(w).Encode(gateway.WatchResponse{Result: &a}); err != nil {
			return err
		}
		return http.NewResponseController(w).Flush()
	}
	s.watch(r, q.Create, send)
	panic(http.ErrAbortHandler)
}

// watch sends the changes from the start revision until the caller goes, the watch is cut or a gap is found.
func (s *Service) watch(r *http.Request, q gateway.WatchCreate, send func(gateway.WatchResult) error) {
	s.mu.Lock()
	cut, next := s.cut, q.StartRevision
	if next == 0 {
		next = s.revision + 1
	}
	created := gateway.WatchResult{Header: gateway.Header{Revision: s.revision}, Created: true}
	s.mu.Unlock()
	if send(created) != nil {
		return
	}
	progress := s.clock.NewTicker(s.progress)
	defer progress.Stop()
	for {
		a, changed := s.after(q, next)
		next = a.Header.Revision + 1
		if (a.Canceled || len(a.Events) > 0) && send(a) != nil || a.Canceled {
			return
		}
		select {
		case <-changed:
		case <-progress.C:
			if q.ProgressNotify && send(gateway.WatchResult{Header: a.Header}) != nil {
				return
			}
		case <-cut:
			return
		case <-r.Context().Done():
			return
		}
	}
}

// after returns the events from the revision on, and a channel that is closed at the next change.
func (s *Service) after(q gateway.WatchCreate, next int64) (a gateway.WatchResult, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a.Header.Revision = s.revision
	if next <= s.compacted {
		a.Canceled, a.CompactRevision = true, s.compacted
		return a, s.changed
	}
	for _, e := range s.history {
		if e.KV.ModRevision >= next && inRange(string(e.KV.Key), q.Key, q.RangeEnd) {
			a.Events = append(a.Events, e)
		}
	}
	return a, s.changed
}
