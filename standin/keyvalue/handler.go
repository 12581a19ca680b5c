package keyvalue

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"shallotring.dev/protocol/keyvalue/gateway"
)

// Handler serves the JSON gateway and POST /fault, whose body is a Fault.
func (s *Service) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post(gateway.PathRange, serveCall(s, CallRange, func(q gateway.RangeRequest) (any, *gateway.Error) {
		return s.read(q), nil
	}))
	r.Post(gateway.PathTxn, serveCall(s, CallTxn, func(q gateway.TxnRequest) (any, *gateway.Error) {
		return s.txn(q)
	}))
	r.Post(gateway.PathGrant, serveCall(s, CallGrant, func(q gateway.Lease) (any, *gateway.Error) {
		return gateway.Lease{ID: s.grant(time.Duration(q.TTL) * time.Second), TTL: q.TTL}, nil
	}))
	r.Post(gateway.PathKeepAlive, serveCall(s, CallKeepAlive, func(q gateway.Lease) (any, *gateway.Error) {
		ttl := s.keepAlive(q.ID)
		return gateway.KeepAliveResponse{Result: gateway.Lease{ID: q.ID, TTL: int64(ttl / time.Second)}}, nil
	}))
	r.Post(gateway.PathRevoke, serveCall(s, CallRevoke, func(q gateway.Lease) (any, *gateway.Error) {
		if !s.Expire(q.ID) {
			return nil, leaseNotFound()
		}
		return struct{}{}, nil
	}))
	r.Post(gateway.PathWatch, s.serveWatch)
	r.Post("/fault", s.serveFault)
	return r
}

func serveCall[Q any](s *Service, c Call, fn func(Q) (any, *gateway.Error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var q Q
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 4*MaxValueBytes)).Decode(&q); err != nil {
			writeError(w, &gateway.Error{Code: gateway.CodeInvalidArgument, Message: err.Error()})
			return
		}
		if !s.beginCall(r.Context(), c) {
			panic(http.ErrAbortHandler)
		}
		response, callErr := fn(q)
		if c != CallRange && s.loseResponse() {
			panic(http.ErrAbortHandler)
		}
		if callErr != nil {
			writeError(w, callErr)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// A failed write means that the client has disconnected.
		_ = json.NewEncoder(w).Encode(response)
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
	if !s.beginCall(r.Context(), CallWatch) {
		panic(http.ErrAbortHandler)
	}
	sendResult := func(a gateway.WatchResult) error {
		if err := json.NewEncoder(w).Encode(gateway.WatchResponse{Result: &a}); err != nil {
			return err
		}
		return http.NewResponseController(w).Flush()
	}
	s.watch(r, q.Create, sendResult)
	panic(http.ErrAbortHandler)
}

// watch sends the changes from the start revision on. It returns when the client disconnects, when the watch is cut, or when
// revisions that it still has to send have been compacted.
func (s *Service) watch(r *http.Request, q gateway.WatchCreate, send func(gateway.WatchResult) error) {
	s.mu.Lock()
	cut, next := s.watchesCut, q.StartRevision
	if next == 0 {
		next = s.revision + 1
	}
	created := gateway.WatchResult{Header: gateway.Header{Revision: s.revision}, Created: true}
	s.mu.Unlock()
	if send(created) != nil {
		return
	}
	progress := s.clock.NewTicker(s.progressInterval)
	defer progress.Stop()
	for {
		a, changed := s.eventsFrom(q, next)
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

// eventsFrom returns the events from the revision next on, and a channel that is closed at the next change.
func (s *Service) eventsFrom(q gateway.WatchCreate, next int64) (a gateway.WatchResult, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a.Header.Revision = s.revision
	if next <= s.compactedRevision {
		a.Canceled, a.CompactRevision = true, s.compactedRevision
		return a, s.changed
	}
	for _, e := range s.history {
		if e.KV.ModRevision >= next && inRange(string(e.KV.Key), q.Key, q.RangeEnd) {
			a.Events = append(a.Events, e)
		}
	}
	return a, s.changed
}
