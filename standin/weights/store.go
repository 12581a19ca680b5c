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

// ErrLoadFailed is the error of an injected load failure. A Client returns it for each
// response of the store that is an error.
var ErrLoadFailed = eris.New("weights could not be read")

// Store serves loads at a limited rate. If more loads are in flight than it serves in parallel, each load takes proportionally
// longer. Its methods may be called concurrently.
type Store struct {
	clock    quartz.Clock
	limiter  *rate.Limiter
	loadTime time.Duration
	parallel int

	mu         sync.Mutex
	inFlight   int
	loads      int
	shouldFail func(path string) bool
}

// Option configures a new store.
type Option func(*Store)

// WithClock replaces the real clock.
func WithClock(c quartz.Clock) Option { return func(s *Store) { s.clock = c } }

// WithRate sets the limit of loads per second and the burst.
func WithRate(perSecond float64, burst int) Option {
	return func(s *Store) { s.limiter = rate.NewLimiter(rate.Limit(perSecond), burst) }
}

// WithLoadTime sets the duration of one load and the number of loads in flight up to which a load takes no longer.
func WithLoadTime(d time.Duration, parallel int) Option {
	return func(s *Store) { s.loadTime, s.parallel = d, parallel }
}

// New returns a store with the limits of the real deployments: 4 loads per second, 0.25 s each, 8 in flight.
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

// Fail makes loads fail for the paths for which fn returns true; nil ends the fault.
func (s *Store) Fail(fn func(path string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shouldFail = fn
}

// Loads returns the number of started loads.
func (s *Store) Loads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loads
}

// Load simulates a load of the weights at the path: it waits for the rate limit and for the duration of the load.
func (s *Store) Load(ctx context.Context, path string) (err error) {
	defer func() { err = eris.Wrapf(err, "load weights %s", path) }()
	if err = s.limiter.Wait(ctx); err != nil {
		return err
	}
	t := s.clock.NewTimer(s.beginLoad())
	defer t.Stop()
	defer s.endLoad()
	select {
	case <-t.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	if s.failsFor(path) {
		return ErrLoadFailed
	}
	return nil
}

// beginLoad counts a load and returns its duration.
func (s *Store) beginLoad() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight++
	s.loads++
	if s.inFlight <= s.parallel {
		return s.loadTime
	}
	return s.loadTime * time.Duration(s.inFlight) / time.Duration(s.parallel)
}

func (s *Store) endLoad() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}

func (s *Store) failsFor(path string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shouldFail != nil && s.shouldFail(path)
}

// ServeHTTP responds to GET /weights/<path> when the load has finished.
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

// Load requests the weights at the path from the store and waits until they are loaded.
func (c *Client) Load(ctx context.Context, path string) (err error) {
	defer func() { err = eris.Wrapf(err, "load weights %s", path) }()
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
