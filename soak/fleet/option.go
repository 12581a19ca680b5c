package fleet

import "slices"

// FaultKind is a kind of fault; its values are the values of the --leave-out flag of cmd/soak.
type FaultKind string

// Kinds of faults.
const (
	KillAgent           FaultKind = "kill-agent"
	KillEntry           FaultKind = "kill-entry"
	RestartEngine       FaultKind = "restart-engine"
	StopEngine          FaultKind = "stop-engine"
	CutConnections      FaultKind = "cut-connections"
	Pause               FaultKind = "pause"
	PauseAtSend         FaultKind = "pause-at-send"
	StoreDown           FaultKind = "store-down"
	StoreSlow           FaultKind = "store-slow"
	StoreLosesResponses FaultKind = "store-loses-answers"
	StoreCutOff         FaultKind = "store-cut-off"
	WatchGaps           FaultKind = "watch-gaps"
	ExpireLease         FaultKind = "expire-lease"
	FailLoads           FaultKind = "fail-loads"
	SlowWeights         FaultKind = "slow-weights"
	BadFrames           FaultKind = "bad-frames"
	StaleReports        FaultKind = "stale-reports"
	StaleHosts          FaultKind = "stale-hosts"
	Operators           FaultKind = "operators"
	RollingRestart      FaultKind = "rolling"
	DrainEndpoint       FaultKind = "leave"
	CallerRetries       FaultKind = "repeats"
	CallersDisconnect   FaultKind = "callers-leave"
)

// FaultKinds lists all kinds of faults.
var FaultKinds = []FaultKind{
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
	EngineMemory       Mechanism = "engine-memory"       // capacity: agents count the slots of engines and not their memory
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
	LeaveOut []FaultKind
	// Without is the mechanism that is left out; empty for none.
	Without Mechanism
}

func (o Options) enabled(k FaultKind) bool { return !slices.Contains(o.LeaveOut, k) }
