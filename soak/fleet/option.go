package fleet

import "slices"

// Kind is a kind of fault; its values are the values of the --leave-out flag of cmd/soak.
type Kind string

// Kinds of faults.
const (
	KillAgent           Kind = "kill-agent"
	KillEntry           Kind = "kill-entry"
	RestartEngine       Kind = "restart-engine"
	StopEngine          Kind = "stop-engine"
	CutConnections      Kind = "cut-connections"
	Pause               Kind = "pause"
	PauseAtSend         Kind = "pause-at-send"
	StoreDown           Kind = "store-down"
	StoreSlow           Kind = "store-slow"
	StoreLosesResponses Kind = "store-loses-answers"
	StoreCutOff         Kind = "store-cut-off"
	WatchGaps           Kind = "watch-gaps"
	ExpireLease         Kind = "expire-lease"
	FailLoads           Kind = "fail-loads"
	SlowWeights         Kind = "slow-weights"
	BadFrames           Kind = "bad-frames"
	StaleReports        Kind = "stale-reports"
	StaleHosts          Kind = "stale-hosts"
	Operators           Kind = "operators"
	RollingRestart      Kind = "rolling"
	DrainEndpoint       Kind = "leave"
	CallerRetries       Kind = "repeats"
	CallersDisconnect   Kind = "callers-leave"
)

// Kinds lists all kinds of faults.
var Kinds = []Kind{
	KillAgent, KillEntry, RestartEngine, StopEngine, CutConnections, Pause, PauseAtSend, StoreDown, StoreSlow, StoreLosesResponses, StoreCutOff,
	WatchGaps, ExpireLease, FailLoads, SlowWeights, BadFrames, StaleReports, StaleHosts, Operators, RollingRestart, DrainEndpoint,
	CallerRetries, CallersDisconnect,
}

// Mechanism is a safety mechanism that a schedule leaves out, or that a fake defeats, to show that the judge finds the
// violations that follow.
type Mechanism string

// Mechanisms that can be left out.
const (
	AdapterNames       Mechanism = "adapter-names"       // guarantee G1: the engine runs requests with any loaded adapter
	SlotsInUse         Mechanism = "slots-in-use"        // guarantee G2: the engine evicts adapters that are in use
	FrameChecks        Mechanism = "frame-checks"        // guarantee G3: every frame is rewritten so that it passes the checks
	Tombstones         Mechanism = "tombstones"          // guarantee G4: every try is settled as never started
	Ledger             Mechanism = "ledger"              // guarantee G5: every intent is granted
	DrainOnLeaving     Mechanism = "leaving"             // guarantee G6: the gate does not drain when its endpoint is leaving
	GracefulStop       Mechanism = "graceful-stop"       // guarantee G7: a planned stop does not wait for requests in progress
	ConfigurationOrder Mechanism = "configuration-order" // guarantee G8: shards are applied in order of arrival
	Generation         Mechanism = "generation"          // guarantee G8: the newest shard's revision is reported as the generation, and full reads are rare
	Settling           Mechanism = "settling"            // final outcome of each request: responses to Settle are dropped
	ClaimCheck         Mechanism = "claim-check"         // guarantee G2: an agent continues to run after its claim is lost
)

// Options are the settings of a schedule.
type Options struct {
	Seed uint64
	// LeaveOut lists kinds of faults that do not occur.
	LeaveOut []Kind
	// Without is the mechanism that is left out; empty for none.
	Without Mechanism
}

func (o Options) enabled(k Kind) bool { return !slices.Contains(o.LeaveOut, k) }
