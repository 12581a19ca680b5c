package gate

import (
	"time"

	"shallotring.dev/state/admission"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/outcome"
	"shallotring.dev/state/slots"
)

// MaxAnswerBytes bounds the body of an answer that is kept for Settle.
const MaxAnswerBytes = 4 << 10

// Config describes the endpoint and the limits of a gate.
type Config struct {
	Endpoint ident.Endpoint
	// Service is set for plain services, which have neither adapters nor a list of running requests.
	Service       bool
	ChecksFencing bool
	Incarnation   ident.Incarnation
	Slots         int
	BatchSize     int
	Queue         int

	// MaxDeadline bounds how far ahead the deadline of a try may be.
	MaxDeadline time.Duration
	// ClockSkew bounds the difference between the wall clocks of two hosts.
	ClockSkew time.Duration
	// KeepFinished is the time past its deadline that a finished try is remembered.
	KeepFinished time.Duration
	// KeepKeyed is the time that a started try with a key is remembered; it is not less than the retention of the ledger.
	KeepKeyed time.Duration
	// MaxRemembered bounds the tries in memory, MaxAnswers the answers among them. A remembered try takes about 470 bytes.
	MaxRemembered int
	MaxAnswers    int

	// LoadAttempts bounds the loads of an adapter before it is marked as failing for FailingFor.
	LoadAttempts int
	LoadBackoff  time.Duration
	FailingFor   time.Duration
	// Quarantine is the time without a load of an adapter after an unload whose effect was unclear,
	// because the delayed command could evict the adapter while it is in use again.
	Quarantine time.Duration
	// LoadTime is the expected time of a load from its permit on.
	LoadTime    time.Duration
	PermitRetry time.Duration
	SurveyEvery time.Duration
	// DrainGrace is the time after the start of a drain in which admitted tries may still start.
	DrainGrace time.Duration
}

// DefaultConfig returns the limits of a gate without an endpoint.
func DefaultConfig() Config {
	return Config{
		BatchSize:     1,
		Queue:         64,
		MaxDeadline:   time.Hour,
		ClockSkew:     30 * time.Second,
		KeepFinished:  5 * time.Minute,
		KeepKeyed:     25 * time.Hour,
		MaxRemembered: 200_000,
		MaxAnswers:    4096,
		LoadAttempts:  3,
		LoadBackoff:   250 * time.Millisecond,
		FailingFor:    10 * time.Second,
		Quarantine:    5 * time.Second,
		LoadTime:      250 * time.Millisecond,
		PermitRetry:   100 * time.Millisecond,
		SurveyEvery:   time.Second,
		DrainGrace:    2 * time.Second,
	}
}

// Gate is the control state of one agent.
type Gate struct {
	Config
	now   time.Time
	out   []Command
	claim ClaimStatus
	queue *admission.Queue
	slots *slots.Slots
	tries map[ident.TryID]*try
	keys  map[callerKey]ident.TryID
	// forgets holds the finished tries by the time at which they are forgotten.
	forgets   map[time.Time][]ident.TryID
	answers   []ident.TryID
	active    map[ident.TryID]*try
	next      time.Time
	sweepAt   time.Time
	synced    bool
	startID   ident.StartID
	formerIDs []ident.StartID
	adopted   map[string]ident.AdapterVersion
	lingering map[string]linger
	adapters  map[ident.AdapterVersion]*adapter
	orders    map[uint64]*order
	number    uint64
	// changes counts ended loads and unloads, so that a list that was read before one of them is recognised.
	changes uint64
	survey  surveyState
	permits permitState
	// reserved is the victim of the load that awaits a permit.
	reserved ident.AdapterVersion
	// silent counts the surveys in a row that had no answer.
	silent  int
	leaving bool
	leftAt  time.Time
	drained bool
}

// New returns the gate of an endpoint; nothing starts before the first survey of an engine.
func New(c Config) *Gate {
	return &Gate{
		Config:    c,
		queue:     admission.New(c.Queue),
		slots:     slots.New(c.Slots),
		tries:     make(map[ident.TryID]*try),
		keys:      make(map[callerKey]ident.TryID),
		active:    make(map[ident.TryID]*try),
		forgets:   make(map[time.Time][]ident.TryID),
		synced:    c.Service,
		adopted:   make(map[string]ident.AdapterVersion),
		lingering: make(map[string]linger),
		adapters:  make(map[ident.AdapterVersion]*adapter),
		orders:    make(map[uint64]*order),
	}
}

// Step applies one event and returns the commands that follow, in order.
func (g *Gate) Step(now time.Time, e Event) (commands []Command) {
	g.now, g.out, g.next = now, nil, time.Time{}
	g.apply(e)
	g.expire()
	g.schedule()
	g.checkRunning()
	return g.out
}

// NextWake returns the time of the next Tick; zero means that none is needed.
func (g *Gate) NextWake() time.Time { return g.next }

func (g *Gate) apply(e Event) {
	switch x := e.(type) {
	case Run:
		g.run(x)
	case Ended:
		g.ended(x)
	case Gone:
		g.gone(x.ID)
	case Settle:
		g.settle(x)
	case LoadEnded:
		g.loadEnded(x)
	case UnloadEnded:
		g.unloadEnded(x)
	case Permits:
		g.permitted(x)
	case Surveyed:
		g.surveyed(x)
	case Observed:
		g.observed(x.StartID)
	case Claim:
		g.claimed(x)
	case Configure:
		g.configure(x)
	case Drain:
		g.leave()
	}
}

func (g *Gate) emit(c Command) { g.out = append(g.out, c) }

// wake asks for a Tick not later than t.
func (g *Gate) wake(t time.Time) {
	if g.next.IsZero() || t.Before(g.next) {
		g.next = t
	}
}

func (g *Gate) schedule() {
	g.admit()
	if !g.Service && !g.stopped() {
		g.planSurvey()
		g.planLoads()
		g.planUnloads()
		g.admit()
	}
	g.finishDrain()
}

// stopped reports whether the claim forbids any command to the endpoint.
func (g *Gate) stopped() bool {
	switch g.claim {
	case ClaimHeld:
		return false
	case ClaimUnsure:
		return !g.Service && !g.ChecksFencing
	}
	return true
}

// blocked reports whether requests of an earlier agent must be gone before the first command.
func (g *Gate) blocked() bool { return !g.synced || (!g.ChecksFencing && len(g.adopted) > 0) }

func (g *Gate) claimed(c Claim) {
	if c.Incarnation < g.Incarnation {
		return
	}
	if c.Incarnation > g.Incarnation {
		g.reclaimed(c.Incarnation)
	}
	g.claim = c.Status
	if g.stopped() {
		g.returnWaiting(outcome.ClaimLost, func(*try) bool { return true })
	} else if g.claim != ClaimHeld {
		g.returnWaiting(outcome.LedgerDown, func(t *try) bool { return t.Key != "" })
	}
}

// reclaimed goes on under a new claim. Another agent may have held the endpoint in between, so the state of the engine is read again.
func (g *Gate) reclaimed(i ident.Incarnation) {
	g.Incarnation = i
	g.returnWaiting(outcome.StaleClaim, func(*try) bool { return true })
	g.forgetEngine()
}

func (g *Gate) configure(c Configure) {
	if c.BatchSize > 0 {
		g.BatchSize = c.BatchSize
	}
	if c.LoadTime > 0 {
		g.LoadTime = c.LoadTime
	}
	if c.Leaving {
		g.leave()
	}
}

func (g *Gate) leave() {
	if g.leaving {
		return
	}
	g.leaving, g.leftAt = true, g.now
}

func (g *Gate) finishDrain() {
	if !g.leaving || g.drained {
		return
	}
	end := g.leftAt.Add(g.DrainGrace)
	if !g.now.Before(end) {
		g.returnWaiting(outcome.Leaving, func(*try) bool { return true })
	} else if g.queue.Len() > 0 {
		g.wake(end)
	}
	if g.queue.Len() == 0 && len(g.active) == 0 && len(g.orders) == 0 {
		g.drained = true
		g.emit(Drained{})
	}
}
