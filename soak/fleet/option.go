package fleet

import "slices"

// Kind is a kind of fault.
type Kind string

// Kinds of faults.
const (
	KillAgent      Kind = "kill-agent"
	KillEntry      Kind = "kill-entry"
	RestartEngine  Kind = "restart-engine"
	StopEngine     Kind = "stop-engine"
	CutConnections Kind = "cut-connections"
	Pause          Kind = "pause"
	PauseAtSend    Kind = "pause-at-send"
	StoreDown      Kind = "store-down"
	StoreSlow      Kind = "store-slow"
	StoreLoses     Kind = "store-loses-answers"
	StoreCutOff    Kind = "store-cut-off"
	WatchGaps      Kind = "watch-gaps"
	ExpireLease    Kind = "expire-lease"
	FailLoads      Kind = "fail-loads"
	SlowWeights    Kind = "slow-weights"
	BadFrames      Kind = "bad-frames"
	StaleReports   Kind = "stale-reports"
	StaleHosts     Kind = "stale-hosts"
	Operators      Kind = "operators"
	Rolling        Kind = "rolling"
	Leave          Kind = "leave"
	Repeats        Kind = "repeats"
	CallersLeave   Kind = "callers-leave"
)

// Kinds lists all kinds of faults.
var Kinds = []Kind{
	KillAgent, KillEntry, RestartEngine, StopEngine, CutConnections, Pause, PauseAtSend, StoreDown, StoreSlow, StoreLoses, StoreCutOff,
	WatchGaps, ExpireLease, FailLoads, SlowWeights, BadFrames, StaleReports, StaleHosts, Operators, Rolling, Leave,
	Repeats, CallersLeave,
}

// Mechanism is a part that the wiring or a fake leaves out, to show that the judge notices.
type Mechanism string

// Mechanisms that can be left out.
const (
	AdapterNames       Mechanism = "adapter-names"       // G1: the engine answers with any loaded adapter
	SlotsInUse         Mechanism = "slots-in-use"        // G2: the engine evicts by itself
	FrameChecks        Mechanism = "frame-checks"        // G3: any frame is made to pass the checks
	Tombstones         Mechanism = "tombstones"          // G4: each try is settled as never started
	Ledger             Mechanism = "ledger"              // G5: each intent is granted
	Leaving            Mechanism = "leaving"             // G6: the gate is not told to leave
	GracefulStop       Mechanism = "graceful-stop"       // G7: a planned stop does not wait
	ConfigurationOrder Mechanism = "configuration-order" // G8: shards are applied in order of arrival
	Generation         Mechanism = "generation"          // G8: the newest shard is reported as the generation, and gaps of the watch are read late
	Settling           Mechanism = "settling"            // final outcome: answers to Settle are dropped
	ClaimCheck         Mechanism = "claim-check"         // section 5.2: an agent goes on after its claim is lost
)

// Options select what a schedule does.
type Options struct {
	Seed uint64
	// LeaveOut lists kinds of faults that do not occur.
	LeaveOut []Kind
	Without  Mechanism
}

func (o Options) on(k Kind) bool { return !slices.Contains(o.LeaveOut, k) }
