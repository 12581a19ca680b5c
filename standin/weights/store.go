package weights

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/coder/quartz"
	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"
)

// ErrLoadFailed is the injected failure of a load.
var ErrLoadFailed = eris.New("weights could not be read")

// Store serves loads at a bounded rate; beyond its number of loads in flight each load takes proportionally longer.
type Store struct {
	clock    quartz.Clock
	limiter  *rate.Limiter
	loadTime time.Duration
	parallel int

	mu       sync.Mutex
	inFlight int
	loads    int
	fail     func(path string) bool
}

// Option changes how a store is built.
type Option func(*Store)

// WithClock replaces the real clock.
func WithClock(c quartz.Clock) Option { return func(s *Store) { s.clock = c } }

// WithRate sets the loads per second and the burst.
func WithRate(perSecond float64, burst int) Option {
	return func(s *Store) { s.limiter = rate.NewLimiter(rate.Limit(perSecond), burst) }
}

// WithLoadTime sets the time of one load and the number of loads in flight up to which it holds.
func WithLoadTime(d time.Duration, parallel int) Option {
	return func(s *Store) { s.loadTime, s.parallel = d, parallel }
}

// New returns a store with the rates of the deployments: 4 loads a second, 0.25 s each, 8 in flight.
func New(options ...Option) *Store {
	s := &Store{
		clock:    quartz.NewReal(),
		limiter:  rate.NewLimiter(4, 8),
		loadTime: 250 * time.Millisecond,
		parallel: 8,
	}
	for _, o := range options {
		o(s)
	}
	return s
}

// Fail makes loads fail for the paths that fn selects; nil ends the fault.
func (s *Store) Fail(fn func(path string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fail = fn
}

// Loads returns the number of loads begun.
func (s *Store) Loads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loads
}

// Load reads the weights at the path; it takes as long as the store needs.
func (s *Store) Load(ctx context.Context, path string) (err error) {
	defer func() { err = eris.Wrapf(err, "load %s", path) }()
	if err = s.limiter.Wait(ctx); err != nil {
		return err
	}
	t := s.clock.NewTimer(s.begin())
	defer t.Stop()
	defer s.end()
	select {
	case <-t.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	if s.fails(path) {
		return ErrLoadFailed
	}
	return nil
}

func (s *Store) begin() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight++
	s.loads++
	if s.inFlight <= s.parallel {
		return s.loadTime
	}
	return s.loadTime * time.Duration(s.inFlight) / time.Duration(s.parallel)
}

func (s *Store) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}

func (s *Store) fails(path string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fail != nil && s.fail(path)
}

// ServeHTTP answers GET /weights/<path> once the load is done.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, ok := strings.CutPrefix(r.URL.Path, "/weights/")
	if !ok || r.Method != http.MethodGet {
		http.NotFound(w, r)
		return
	}
	if err := s.Load(r.Context(), path); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// Client loads weights from a store in another process.
type Client struct {
	// BaseURL is the URL of the store without a path.
	BaseURL string
}

// Load asks the store for the weights at the path and waits until it has them.
func (c *Client) Load(ctx context.Context, path string) (err error) {
	defer func() { err = eris.Wrapf(err, "load %s", path) }()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.BaseURL+"/weights/"+path, http.NoBody)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		return ErrLoadFailed
	}
	return nil
}
