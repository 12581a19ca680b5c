package gate

import (
	"time"

	"shallotring.dev/state/admission"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/outcome"
	"shallotring.dev/state/slots"
)

// MaxAnswerBytes bounds the body of a response that is stored for Settle.
const MaxAnswerBytes = 4 << 10

// Config describes the endpoint and the limits of a gate.
type Config struct {
	Endpoint ident.Endpoint
	// Service is set for plain services, which have neither adapters nor a list of running requests.
	Service bool
	// ChecksFencing is set if the endpoint rejects orders with a stale fencing number.
	ChecksFencing bool
	Incarnation   ident.Incarnation
	Slots         int
	BatchSize     int
	// QueueLimit bounds the number of waiting tries.
	QueueLimit int

	// MaxDeadline bounds how far ahead the deadline of a try may be.
	MaxDeadline time.Duration
	// ClockSkew bounds the difference between the wall clocks of two hosts.
	ClockSkew time.Duration
	// FinishedRetention is the time past its deadline for which a finished try is remembered.
	FinishedRetention time.Duration
	// KeyedRetention is the time for which a finished try with a key is remembered; it is not less than the retention of the ledger.
	KeyedRetention time.Duration
	// MaxRemembered bounds the number of remembered tries, MaxAnswers the number of stored responses. A remembered try takes
	// about 470 bytes of memory.
	MaxRemembered int
	MaxAnswers    int

	// MaxLoadAttempts is the number of failed loads after which an adapter is marked as failing for FailingDuration.
	MaxLoadAttempts int
	// LoadBackoff is the pause after the first failed load; it doubles with each further one. It is also the pause before a
	// failed unload is sent again.
	LoadBackoff     time.Duration
	FailingDuration time.Duration
	// QuarantineDuration is the time for which an adapter is not loaded after an unload with an unknown effect, because the
	// delayed command could evict the adapter while it is in use again.
	QuarantineDuration time.Duration
	// LoadTimeout is the time after which an engine has ended a load, whether it has responded or not.
	LoadTimeout time.Duration
	// LoadTime is the expected duration of a load from its permit on.
	LoadTime time.Duration
	// PermitRetryInterval is the time between a refused request for a permit and the next one.
	PermitRetryInterval time.Duration
	// SurveyInterval is the time between the end of a survey and the next one.
	SurveyInterval time.Duration
	// DrainGrace is the grace period after the start of a drain, in which admitted tries may still start.
	DrainGrace time.Duration
}

// DefaultConfig returns the default limits; the caller adds the endpoint.
func DefaultConfig() Config {
	return Config{
		BatchSize:           1,
		QueueLimit:          64,
		MaxDeadline:         time.Hour,
		ClockSkew:           30 * time.Second,
		FinishedRetention:   5 * time.Minute,
		KeyedRetention:      25 * time.Hour,
		MaxRemembered:       200_000,
		MaxAnswers:          4096,
		MaxLoadAttempts:     3,
		LoadBackoff:         250 * time.Millisecond,
		FailingDuration:     10 * time.Second,
		QuarantineDuration:  5 * time.Second,
		LoadTimeout:         30 * time.Second,
		LoadTime:            250 * time.Millisecond,
		PermitRetryInterval: 100 * time.Millisecond,
		SurveyInterval:      time.Second,
		DrainGrace:          2 * time.Second,
	}
}

// Gate is the control state of one agent.
type Gate struct {
	Config
	now      time.Time
	commands []Command
	claim    ClaimStatus
	queue    *admission.Queue
	slots    *slots.Slots
	tries    map[ident.TryID]*try
	keys     map[callerKey]ident.TryID
	// forgetBuckets holds the tries to forget by the end of their sweep interval.
	forgetBuckets map[time.Time][]ident.TryID
	// answerOrder holds the tries with a stored response, the oldest first.
	answerOrder []ident.TryID
	// active holds the running tries.
	active    map[ident.TryID]*try
	nextWake  time.Time
	nextSweep time.Time
	// synced is set while the view of the engine comes from a survey of its current process.
	synced           bool
	startID          ident.StartID
	previousStartIDs []ident.StartID
	// adopted holds the adapters of a previous agent's requests that the engine still runs, by request id.
	adopted         map[string]ident.AdapterVersion
	unresolvedTries map[string]unresolvedTry
	adapters        map[ident.AdapterVersion]*adapter
	// orders holds the loads and unloads in flight by number.
	orders map[uint64]*order
	// lastNumber is the last number of an order or a survey.
	lastNumber uint64
	// viewVersion rises with each finished load or unload and each reset of the view of the engine, so that a list that was
	// read before such a change is recognised.
	viewVersion uint64
	survey      surveyState
	permits     permitState
	// reservedVictim is the adapter to evict for the load that waits for a permit; no try starts on it.
	reservedVictim ident.AdapterVersion
	// failedSurveys counts the surveys in a row without a response.
	failedSurveys int
	leaving       bool
	drainStart    time.Time
	drained       bool
}

// New returns the gate of an endpoint; at an engine, no try starts before the first survey.
func New(c Config) *Gate {
	return &Gate{
		Config:          c,
		queue:           admission.New(c.QueueLimit),
		slots:           slots.New(c.Slots),
		tries:           make(map[ident.TryID]*try),
		keys:            make(map[callerKey]ident.TryID),
		active:          make(map[ident.TryID]*try),
		forgetBuckets:   make(map[time.Time][]ident.TryID),
		synced:          c.Service,
		adopted:         make(map[string]ident.AdapterVersion),
		unresolvedTries: make(map[string]unresolvedTry),
		adapters:        make(map[ident.AdapterVersion]*adapter),
		orders:          make(map[uint64]*order),
	}
}

// Step applies one event and returns the commands that follow, in order.
func (g *Gate) Step(now time.Time, e Event) (commands []Command) {
	g.now, g.commands, g.nextWake = now, nil, time.Time{}
	g.apply(e)
	g.expire()
	g.schedule()
	g.checkRunning()
	return g.commands
}

// NextWake returns the time of the next Tick; zero means that none is needed.
func (g *Gate) NextWake() time.Time { return g.nextWake }

func (g *Gate) apply(e Event) {
	switch x := e.(type) {
	case Run:
		g.run(x)
	case Ended:
		g.finishTry(x)
	case SenderGone:
		g.cancelForSender(x.ID)
	case Settle:
		g.settle(x)
	case LoadEnded:
		g.loadEnded(x)
	case UnloadEnded:
		g.unloadEnded(x)
	case Permits:
		g.applyPermits(x)
	case Surveyed:
		g.applySurvey(x)
	case StartIDObserved:
		g.observeStartID(x.StartID)
	case Claim:
		g.applyClaim(x)
	case Configure:
		g.configure(x)
	case Drain:
		g.startDrain()
	}
}

func (g *Gate) emit(c Command) { g.commands = append(g.commands, c) }

// wakeBy requests a Tick not later than t.
func (g *Gate) wakeBy(t time.Time) {
	if g.nextWake.IsZero() || t.Before(g.nextWake) {
		g.nextWake = t
	}
}

func (g *Gate) schedule() {
	g.startReady()
	if !g.Service && !g.claimForbidsWork() {
		g.planSurvey()
		g.planLoads()
		g.planUnloads()
		g.startReady()
	}
	g.finishDrain()
}

// claimForbidsWork reports whether the claim forbids any command to the endpoint.
func (g *Gate) claimForbidsWork() bool {
	switch g.claim {
	case ClaimHeld:
		return false
	case ClaimUncertain:
		return !g.Service && !g.ChecksFencing
	}
	return true
}

// takeoverPending reports whether commands must wait because the state of the engine has not been read, or because requests of
// a previous agent still run at an engine that ignores fencing numbers.
func (g *Gate) takeoverPending() bool { return !g.synced || (!g.ChecksFencing && len(g.adopted) > 0) }

func (g *Gate) applyClaim(c Claim) {
	if c.Incarnation < g.Incarnation {
		return
	}
	if c.Incarnation > g.Incarnation {
		g.applyIncarnation(c.Incarnation)
	}
	g.claim = c.Status
	if g.claimForbidsWork() {
		g.returnWaiting(outcome.ClaimLost, func(*try) bool { return true })
	} else if g.claim != ClaimHeld {
		g.returnWaiting(outcome.LedgerDown, func(t *try) bool { return t.Key != "" })
	}
}

// applyIncarnation continues with a new claim. Another agent may have held the endpoint in between, so the state of the engine
// is read again.
func (g *Gate) applyIncarnation(i ident.Incarnation) {
	g.Incarnation = i
	g.returnWaiting(outcome.StaleClaim, func(*try) bool { return true })
	restore := g.keepUnanswered()
	g.resetEngineView()
	restore()
}

func (g *Gate) configure(c Configure) {
	if c.BatchSize > 0 {
		g.BatchSize = c.BatchSize
	}
	if c.Slots > 0 && !g.Service {
		g.slots.Resize(c.Slots)
	}
	if c.LoadTime > 0 {
		g.LoadTime = c.LoadTime
	}
	if c.Leaving {
		g.startDrain()
	}
}

// startDrain stops the admission of tries and starts the grace period.
func (g *Gate) startDrain() {
	if g.leaving {
		return
	}
	g.leaving, g.drainStart = true, g.now
}

// finishDrain refuses the waiting tries after the grace period and reports when no try and no order remains.
func (g *Gate) finishDrain() {
	if !g.leaving || g.drained {
		return
	}
	end := g.drainStart.Add(g.DrainGrace)
	if !g.now.Before(end) {
		g.returnWaiting(outcome.Leaving, func(*try) bool { return true })
	} else if g.queue.Len() > 0 {
		g.wakeBy(end)
	}
	if g.queue.Len() == 0 && len(g.active) == 0 && len(g.orders) == 0 {
		g.drained = true
		g.emit(Drained{})
	}
}
