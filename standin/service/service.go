package service

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"

	"github.com/go-chi/chi/v5"
)

// Run is one call that the service executed.
type Run struct {
	// RequestID is the header X-Request-Id, which identifies the request and the try.
	RequestID string
	Key       string
	Method    string
	Path      string
	Body      string
}

// Receipt is the body of the response to a call.
type Receipt struct {
	// Number is the number of the run; the first run of an instance has the number 1.
	Number int
	Method string
	Path   string
	Key    string
}

// Service executes every call that it receives and does not deduplicate retries, so that tests can check at-most-once execution
// by its journal. Its methods may be called concurrently.
type Service struct {
	mu      sync.Mutex
	journal []Run
	before  func(r *http.Request)
	after   func(r *http.Request)
	hold    hold
}

// hold makes calls wait until the release channel is closed, before or after they take effect.
type hold struct {
	after   bool
	release chan struct{}
}

// New returns a service with an empty journal.
func New() *Service { return &Service{} }

// SetHooks sets functions that run before and after a call takes effect, to inject faults; nil sets none.
func (s *Service) SetHooks(before, after func(r *http.Request)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.before, s.after = before, after
}

// Journal returns the runs in order.
func (s *Service) Journal() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.journal...)
}

// Hold makes each call wait, before or after it takes effect, until Release.
func (s *Service) Hold(after bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endHold()
	s.hold = hold{after: after, release: make(chan struct{})}
}

// Release ends the hold and lets the waiting calls continue.
func (s *Service) Release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endHold()
}

func (s *Service) endHold() {
	if s.hold.release != nil {
		close(s.hold.release)
	}
	s.hold = hold{}
}

// waitWhileHeld waits for Release if calls are held at this point, before or after they take effect.
func (s *Service) waitWhileHeld(after bool) {
	s.mu.Lock()
	h := s.hold
	s.mu.Unlock()
	if h.release != nil && h.after == after {
		<-h.release
	}
}

// Handler serves GET /journal, POST /fault/hold-before, /fault/hold-after and /fault/release, and executes any other call.
func (s *Service) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/journal", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Journal()) })
	r.Post("/fault/hold-before", func(http.ResponseWriter, *http.Request) { s.Hold(false) })
	r.Post("/fault/hold-after", func(http.ResponseWriter, *http.Request) { s.Hold(true) })
	r.Post("/fault/release", func(http.ResponseWriter, *http.Request) { s.Release() })
	r.HandleFunc("/*", s.execute)
	return r
}

func (s *Service) execute(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	before, after := s.hooks()
	if before != nil {
		before(r)
	}
	s.waitWhileHeld(false)
	receipt := s.record(r, body)
	s.waitWhileHeld(true)
	if after != nil {
		after(r)
	}
	writeJSON(w, receipt)
}

func (s *Service) hooks() (before, after func(r *http.Request)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.before, s.after
}

func (s *Service) record(r *http.Request, body []byte) Receipt {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := r.Header.Get("Idempotency-Key")
	s.journal = append(s.journal, Run{RequestID: r.Header.Get("X-Request-Id"), Key: key, Method: r.Method, Path: r.URL.Path, Body: string(body)})
	return Receipt{Number: len(s.journal), Method: r.Method, Path: r.URL.Path, Key: key}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
