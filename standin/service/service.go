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
	Key    string
	Method string
	Path   string
	Body   string
}

// Receipt is the service's answer to a call.
type Receipt struct {
	// Number counts the runs of this instance from 1.
	Number int
	Method string
	Path   string
	Key    string
}

// Service executes every call that it receives, repeated or not, so that its journal judges at-most-once.
type Service struct {
	mu      sync.Mutex
	journal []Run
	before  func(r *http.Request)
	after   func(r *http.Request)
}

// New returns a service with an empty journal.
func New() *Service { return &Service{} }

// Hook sets functions that are called before and after a call takes effect, to inject faults.
func (s *Service) Hook(before, after func(r *http.Request)) {
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

// Handler serves GET /journal and executes any other call.
func (s *Service) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/journal", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Journal()) })
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
	receipt := s.record(r, body)
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
	s.journal = append(s.journal, Run{Key: key, Method: r.Method, Path: r.URL.Path, Body: string(body)})
	return Receipt{Number: len(s.journal), Method: r.Method, Path: r.URL.Path, Key: key}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
