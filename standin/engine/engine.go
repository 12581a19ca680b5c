package engine

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/coder/quartz"
	"github.com/rotisserie/eris"

	"shallotring.dev/state/ident"
)

// Loader reads the weights of an adapter.
type Loader interface {
	Load(ctx context.Context, path string) (err error)
}

// Run is one request that the engine began.
type Run struct {
	RequestID    string
	Model        string
	PromptDigest string
	// FencingNumber is the number that the request came with.
	FencingNumber int64
	Cancelled     bool
	Finished      bool
}

type running struct {
	id     string
	model  string
	cancel context.CancelFunc
}

type adapter struct {
	path   string
	digest string
	inUse  int
}

// Engine serves requests for the adapters that it has loaded.
type Engine struct {
	clock         quartz.Clock
	loader        Loader
	base          ident.BaseModel
	slots         int
	batch         chan struct{}
	tokenInterval time.Duration
	checksFencing bool
	digests       func(path string) string

	mu        sync.Mutex
	startID   ident.StartID
	starts    int
	fencing   int64
	adapters  map[string]*adapter
	running   map[*running]struct{}
	waiting   int
	journal   []*Run
	evictions []string
	// stale lists the commands that were carried out with an old fencing number.
	stale []string
	epoch context.Context
	stop  context.CancelFunc
}

// Option changes how an engine is built.
type Option func(*Engine)

// WithClock replaces the real clock.
func WithClock(c quartz.Clock) Option { return func(e *Engine) { e.clock = c } }

// WithTokenInterval sets the time between two tokens; zero generates at once.
func WithTokenInterval(d time.Duration) Option { return func(e *Engine) { e.tokenInterval = d } }

// WithFencing makes the engine refuse commands with an old fencing number.
func WithFencing(check bool) Option { return func(e *Engine) { e.checksFencing = check } }

// WithSlots sets the number of adapters and of requests that fit at once.
func WithSlots(adapters, batch int) Option {
	return func(e *Engine) { e.slots, e.batch = adapters, make(chan struct{}, batch) }
}

// WithDigests sets the function that gives the digest of the weights at a path.
func WithDigests(fn func(path string) string) Option { return func(e *Engine) { e.digests = fn } }

// New returns an engine with nothing loaded.
func New(base ident.BaseModel, loader Loader, options ...Option) *Engine {
	e := &Engine{
		clock:         quartz.NewReal(),
		loader:        loader,
		base:          base,
		slots:         8,
		batch:         make(chan struct{}, 16),
		tokenInterval: time.Millisecond,
		digests:       Digest,
		running:       make(map[*running]struct{}),
	}
	for _, o := range options {
		o(e)
	}
	e.Restart()
	return e
}

// Restart ends all requests and empties the engine, as a crash of its process does.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stop != nil {
		e.stop()
	}
	e.starts++
	e.startID = ident.StartID(fmt.Sprintf("start-%d-%d", e.clock.Now().UnixNano(), e.starts))
	e.adapters = make(map[string]*adapter)
	e.running = make(map[*running]struct{})
	e.waiting = 0
	e.epoch, e.stop = context.WithCancel(context.Background())
}

// Journal returns the requests that the engine began, in order.
func (e *Engine) Journal() (list []Run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.journal {
		list = append(list, *r)
	}
	return list
}

// EvictionsInUse returns the adapters that were unloaded while a request used them.
func (e *Engine) EvictionsInUse() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.evictions...)
}

// StaleCommands returns the commands that were carried out with an old fencing number; an engine that checks has none.
func (e *Engine) StaleCommands() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.stale...)
}

// Loaded returns the names of the loaded adapters.
func (e *Engine) Loaded() (names []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for n := range e.adapters {
		names = append(names, n)
	}
	return names
}

// Errors of commands.
var (
	errNoSlot    = eris.New("no free adapter slot")
	errNotLoaded = eris.New("model is not loaded")
	errRestarted = eris.New("engine restarted")
	errFenced    = eris.New("the fencing number is old")
)

func (e *Engine) load(ctx context.Context, name, path string, number int64) (err error) {
	e.mu.Lock()
	_, loaded := e.adapters[name]
	full := len(e.adapters) >= e.slots
	epoch := e.epoch
	e.mu.Unlock()
	if loaded {
		return nil
	}
	if full {
		return errNoSlot
	}
	if err = e.loader.Load(ctx, path); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if epoch != e.epoch {
		return errRestarted
	}
	if e.fenced(number) {
		return errFenced
	}
	if len(e.adapters) >= e.slots {
		return errNoSlot
	}
	e.adapters[name] = &adapter{path: path, digest: e.digests(path)}
	return nil
}

func (e *Engine) unload(name string, number int64) (err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fenced(number) {
		return errFenced
	}
	a, ok := e.adapters[name]
	if !ok {
		return errNotLoaded
	}
	if a.inUse > 0 {
		e.evictions = append(e.evictions, name)
	}
	delete(e.adapters, name)
	return nil
}

// fenced reports whether a newer number has come since the command arrived. The check at the arrival alone would let a
// command run whose body arrives after a newer agent's first command.
func (e *Engine) fenced(number int64) bool { return e.checksFencing && number < e.fencing }

// checkFencing records the number and reports whether a command with it may be executed.
func (e *Engine) checkFencing(command string, number int64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if number < e.fencing {
		if e.checksFencing {
			return false
		}
		e.stale = append(e.stale, fmt.Sprintf("%s with %d after %d", command, number, e.fencing))
	}
	e.fencing = max(e.fencing, number)
	return true
}

// begin admits a request; end must be called when it is over.
func (e *Engine) begin(ctx context.Context, id, model, promptDigest string, fencing int64) (runCtx context.Context, run *Run, end func(finished bool), err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fenced(fencing) {
		return nil, nil, nil, errFenced
	}
	a, ok := e.adapters[model]
	if !ok && model != string(e.base) {
		return nil, nil, nil, errNotLoaded
	}
	runCtx, cancel := context.WithCancel(ctx)
	detach := context.AfterFunc(e.epoch, cancel)
	r := &running{id: id, model: model, cancel: cancel}
	run = &Run{RequestID: id, Model: model, PromptDigest: promptDigest, FencingNumber: fencing}
	e.running[r] = struct{}{}
	e.journal = append(e.journal, run)
	if ok {
		a.inUse++
	}
	end = func(finished bool) {
		e.mu.Lock()
		defer e.mu.Unlock()
		detach()
		cancel()
		run.Finished, run.Cancelled = finished, !finished
		delete(e.running, r)
		if ok {
			a.inUse--
		}
	}
	return runCtx, run, end, nil
}

// join waits for a place in the batch.
func (e *Engine) join(ctx context.Context) (leave func(), err error) {
	e.addWaiting(1)
	defer e.addWaiting(-1)
	select {
	case e.batch <- struct{}{}:
		return func() { <-e.batch }, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (e *Engine) addWaiting(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiting += n
}

func (e *Engine) cancel(id string) (found bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for r := range e.running {
		if r.id == id {
			r.cancel()
			found = true
		}
	}
	return found
}
