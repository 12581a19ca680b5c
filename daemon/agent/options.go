package agent

import (
	"context"

	"github.com/VictoriaMetrics/metrics"
	"github.com/coder/quartz"

	"shallotring.dev/coordination/claim"
	"shallotring.dev/state/gate"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/resource"
	"shallotring.dev/transport/timeline"
)

// Configuration is the agent's source of the declared resources.
type Configuration interface {
	// Current returns the configuration in force.
	Current() *resource.Set
	// Generation returns the revision up to which all changes are in force.
	Generation() ident.Revision
	// Failure returns why the newest configuration is not in force; it is empty if no change is known to be missing.
	Failure() string
	// Refresh brings the configuration up to the revision or returns an error.
	Refresh(ctx context.Context, revision ident.Revision) (err error)
}

// Option changes how an agent is built.
type Option func(*Agent)

// WithStore sets the key-value service that stores the claim.
func WithStore(s claim.Store) Option { return func(a *Agent) { a.store = s } }

// WithConfiguration sets the source of the declared resources.
func WithConfiguration(c Configuration) Option { return func(a *Agent) { a.configuration = c } }

// WithPermits replaces the fixed share of the load budget.
func WithPermits(p Permits) Option { return func(a *Agent) { a.permits = p } }

// WithClock replaces the real clock of the control loop and of the claim.
func WithClock(c quartz.Clock) Option { return func(a *Agent) { a.clock = c } }

// WithLog sets the log, which also records the timeline events.
func WithLog(l *timeline.Log) Option { return func(a *Agent) { a.log = l } }

// WithProcess sets the process id, which is random by default.
func WithProcess(p ident.Process) Option { return func(a *Agent) { a.process = p } }

// WithMetrics sets the set in which the metrics are registered and which the admin port exposes.
func WithMetrics(s *metrics.Set) Option { return func(a *Agent) { a.metrics = s } }

// WithLimits changes the limits of the gate; the fields that describe the endpoint are set by its resource.
func WithLimits(fn func(*gate.Config)) Option { return func(a *Agent) { a.adjustLimits = fn } }
