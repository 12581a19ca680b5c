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

// Loader loads the weights of an adapter.
type Loader interface {
	Load(ctx context.Context, path string) (err error)
}

// Run is the journal entry of one request that the engine started.
type Run struct {
	RequestID    string
	Model        string
	PromptDigest string
	// FencingNumber is the fencing number in the request's header, or 0 if it is missing.
	FencingNumber int64
	Cancelled     bool
	Finished      bool
}

type runningRequest struct {
	id     string
	model  string
	cancel context.CancelFunc
}

type adapter struct {
	path   string
	digest string
	inUse  int
}

// Engine serves requests for its base model and its loaded adapters. Its methods may be called concurrently.
type Engine struct {
	clock         quartz.Clock
	loader        Loader
	baseModel     ident.BaseModel
	slots         int
	batch         chan struct{}
	tokenInterval time.Duration
	checksFencing bool
	digestOf      func(path string) string

	mu             sync.Mutex
	startID        ident.StartID
	starts         int
	newestFencing  int64
	adapters       map[string]*adapter
	running        map[*runningRequest]struct{}
	waiting        int
	journal        []*Run
	evictionsInUse []string
	// staleCommands lists the commands that were executed with a stale fencing number.
	staleCommands []string
	// hold, if set, keeps requests from generating tokens until it is closed.
	hold chan struct{}
	// startCtx ends when the engine restarts.
	startCtx    context.Context
	cancelStart context.CancelFunc
}

// Option configures a new engine.
type Option func(*Engine)

// WithClock replaces the real clock.
func WithClock(c quartz.Clock) Option { return func(e *Engine) { e.clock = c } }

// WithTokenInterval sets the time between two tokens; zero generates all tokens without a delay.
func WithTokenInterval(d time.Duration) Option { return func(e *Engine) { e.tokenInterval = d } }

// WithFencing makes the engine refuse commands with a stale fencing number.
func WithFencing(check bool) Option { return func(e *Engine) { e.checksFencing = check } }

// WithSlots sets the number of adapter slots and the batch size in requests.
func WithSlots(adapters, batch int) Option {
	return func(e *Engine) { e.slots, e.batch = adapters, make(chan struct{}, batch) }
}

// WithDigests sets the function that returns the digest of the weights at a path.
func WithDigests(fn func(path string) string) Option { return func(e *Engine) { e.digestOf = fn } }

// New returns an engine without loaded adapters.
func New(base ident.BaseModel, loader Loader, options ...Option) *Engine {
	e := &Engine{
		clock:         quartz.NewReal(),
		loader:        loader,
		baseModel:     base,
		slots:         8,
		batch:         make(chan struct{}, 16),
		tokenInterval: time.Millisecond,
		digestOf:      Digest,
		running:       make(map[*runningRequest]struct{}),
	}
	for _, o := range options {
		o(e)
	}
	e.Restart()
	return e
}

// Restart aborts all requests, unloads all adapters and changes the start id, as a restart of the engine process does.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cancelStart != nil {
		e.cancelStart()
	}
	e.starts++
	e.startID = ident.StartID(fmt.Sprintf("start-%d-%d", e.clock.Now().UnixNano(), e.starts))
	e.adapters = make(map[string]*adapter)
	e.running = make(map[*runningRequest]struct{})
	e.waiting = 0
	e.startCtx, e.cancelStart = context.WithCancel(context.Background())
}

// Hold keeps all requests from generating tokens until Release.
func (e *Engine) Hold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.hold == nil {
		e.hold = make(chan struct{})
	}
}

// Release ends the hold and lets the requests continue.
func (e *Engine) Release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.hold != nil {
		close(e.hold)
	}
	e.hold = nil
}

// waitWhileHeld waits for Release if tokens are held.
func (e *Engine) waitWhileHeld(ctx context.Context) (err error) {
	e.mu.Lock()
	hold := e.hold
	e.mu.Unlock()
	if hold == nil {
		return nil
	}
	select {
	case <-hold:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Journal returns the requests that the engine started, in order.
func (e *Engine) Journal() (list []Run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.journal {
		list = append(list, *r)
	}
	return list
}

// EvictionsInUse returns the adapters that were unloaded while a request was using them.
func (e *Engine) EvictionsInUse() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.evictionsInUse...)
}

// StaleCommands returns the commands that were executed with a stale fencing number. It is empty if the engine checks
// fencing numbers.
func (e *Engine) StaleCommands() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.staleCommands...)
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

// Errors of engine commands.
var (
	errNoSlot       = eris.New("no free adapter slot")
	errNotLoaded    = eris.New("model is not loaded")
	errRestarted    = eris.New("engine restarted")
	errStaleFencing = eris.New("fencing number is stale: a newer one was received")
)

func (e *Engine) load(ctx context.Context, name, path string, fencing int64) (err error) {
	e.mu.Lock()
	_, loaded := e.adapters[name]
	full := len(e.adapters) >= e.slots
	startCtx := e.startCtx
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
	if startCtx != e.startCtx {
		return errRestarted
	}
	if e.isStale(fencing) {
		return errStaleFencing
	}
	if len(e.adapters) >= e.slots {
		return errNoSlot
	}
	e.adapters[name] = &adapter{path: path, digest: e.digestOf(path)}
	return nil
}

func (e *Engine) unload(name string, fencing int64) (err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isStale(fencing) {
		return errStaleFencing
	}
	a, ok := e.adapters[name]
	if !ok {
		return errNotLoaded
	}
	if a.inUse > 0 {
		e.evictionsInUse = append(e.evictionsInUse, name)
	}
	delete(e.adapters, name)
	return nil
}

// isStale reports whether the engine has received a newer fencing number. A check when the header arrives is not enough: a
// command whose body arrives after the first command of a newer agent would still run.
func (e *Engine) isStale(fencing int64) bool { return e.checksFencing && fencing < e.newestFencing }

// recordFencing records the fencing number of a command and reports whether the command may be executed.
func (e *Engine) recordFencing(command string, fencing int64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if fencing < e.newestFencing {
		if e.checksFencing {
			return false
		}
		e.staleCommands = append(e.staleCommands, fmt.Sprintf("%s with %d after %d", command, fencing, e.newestFencing))
	}
	e.newestFencing = max(e.newestFencing, fencing)
	return true
}

// startRun records the start of a request; the caller must call finish when the request has ended.
func (e *Engine) startRun(ctx context.Context, id, model, promptDigest string, fencing int64) (runCtx context.Context, run *Run, finish func(finished bool), err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isStale(fencing) {
		return nil, nil, nil, errStaleFencing
	}
	a, ok := e.adapters[model]
	if !ok && model != string(e.baseModel) {
		return nil, nil, nil, errNotLoaded
	}
	runCtx, cancel := context.WithCancel(ctx)
	detach := context.AfterFunc(e.startCtx, cancel)
	r := &runningRequest{id: id, model: model, cancel: cancel}
	run = &Run{RequestID: id, Model: model, PromptDigest: promptDigest, FencingNumber: fencing}
	e.running[r] = struct{}{}
	e.journal = append(e.journal, run)
	if ok {
		a.inUse++
	}
	finish = func(finished bool) {
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
	return runCtx, run, finish, nil
}

// joinBatch waits for a free slot in the batch.
func (e *Engine) joinBatch(ctx context.Context) (leaveBatch func(), err error) {
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
