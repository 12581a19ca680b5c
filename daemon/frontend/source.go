package frontend

import (
	"log/slog"
	"time"
)

// promptSource returns the address of the engine from which the endpoint may fetch the cached prompt prefix of a request; it is empty if
// there is none. The source was chosen with the endpoint and may have left, restarted or loaded other weights while the request waited for
// its adapter.
func (f *Frontend) promptSource(now time.Time, x *request, e *endpoint) (address string) {
	source := x.source
	if source == nil {
		return ""
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	// Only a recent state of its agent tells which weights an engine has loaded.
	valid := f.endpoints[source.name] == source && source.agentState(now) != nil && e.agentState(now) != nil && !source.limited && !source.doubted &&
		f.placement.CanSupply(source.name, e.name, x.adapter)
	f.log.Info("source of the cached prompt", x.id(), slog.String("Endpoint", string(e.name)), slog.String("BaseVersion", string(e.baseModel(now).Version)),
		slog.String("Source", string(source.name)), slog.String("SourceBaseVersion", string(source.baseModel(now).Version)), slog.Int64("SourceBorn", source.StartMilli),
		slog.String("Adapter", x.adapter.String()), slog.Bool("Valid", valid))
	if !valid {
		return ""
	}
	return source.pool.Address()
}
