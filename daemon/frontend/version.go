package frontend

import (
	"log/slog"

	"shallotring.dev/protocol/control"
	"shallotring.dev/state/holdings"
	"shallotring.dev/state/ident"
)

// defaultVersion is the version of an adapter for which no version has been declared.
const defaultVersion = "1"

// currentVersion returns the version of an adapter that new requests use; the lock is held.
func (f *Frontend) currentVersion(a ident.Adapter) ident.Version {
	if v, ok := f.versions[a]; ok {
		return v
	}
	return defaultVersion
}

// setAdapterVersion sets the version of its adapter that a request uses from now on; the lock is held.
func (f *Frontend) setAdapterVersion(x *request) {
	if x.call.Adapter != "" {
		x.adapter = ident.AdapterVersion{Adapter: x.call.Adapter, Version: f.currentVersion(x.call.Adapter)}
	}
}

// isOutdated reports whether another version of the request's adapter has been declared since the request was placed.
func (f *Frontend) isOutdated(x *request) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return x.adapter.Version != f.currentVersion(x.adapter.Adapter)
}

// DeclareVersion sets the version of an adapter that new requests use, and those that wait for another version of it.
func (f *Frontend) DeclareVersion(av ident.AdapterVersion) {
	f.mu.Lock()
	f.versions[av.Adapter] = av.Version
	now, waiting := f.clock.Now(), 0
	for _, e := range f.endpoints {
		for x, w := range e.waits {
			if x.Adapter == av.Adapter && x.Version != av.Version {
				waiting += w.requests
				e.wake(x)
				e.enqueueReport(control.UsageReport{Wants: []holdings.Demand{{Adapter: x}}}, now)
			}
		}
	}
	f.mu.Unlock()
	f.log.Info("adapter version declared", slog.String("Adapter", string(av.Adapter)), slog.String("Version", string(av.Version)), slog.Int("Waiting", waiting))
}
