package frontend

import (
	"log/slog"
	"strconv"
	"time"

	"shallotring.dev/state/ident"
	"shallotring.dev/state/inventory"
	"shallotring.dev/state/routing"
)

const (
	// restoredEntryDelay is the time after which a discovery entry from a restored store counts as current although it contradicts
	// what was known before: the entry of an endpoint that does not exist any more has expired by then.
	restoredEntryDelay = 8 * time.Second
	// departureMemory is the time for which removed endpoints are remembered; a store is restored from a copy some seconds old.
	departureMemory = 5 * time.Minute
)

// departures remembers the endpoints that have been removed, since a restored store may list them again, and those that have announced that
// they leave, since discovery may lose their entries and list them again. The frontend's lock guards it.
type departures struct {
	removed map[ident.Endpoint]departure
	// leaving has the incarnations that were forgotten after they had announced that they leave, with the time at which that was.
	leaving map[incarnation]time.Time
	// contradicting has the entries of a restored store that contradict what was known, with the time from which they count.
	contradicting map[ident.Endpoint]contradiction
}

type departure struct {
	startMilli int64
	at         time.Time
}

// incarnation identifies one incarnation of an endpoint.
type incarnation struct {
	id         ident.Endpoint
	startMilli int64
}

type contradiction struct {
	endpoint  inventory.Endpoint
	countFrom time.Time
}

func newDepartures() departures {
	return departures{removed: make(map[ident.Endpoint]departure), leaving: make(map[incarnation]time.Time), contradicting: make(map[ident.Endpoint]contradiction)}
}

// record remembers that an endpoint was removed and forgets those that were removed long ago.
func (d *departures) record(now time.Time, e inventory.Endpoint) {
	for id, x := range d.removed {
		if now.Sub(x.at) > departureMemory {
			delete(d.removed, id)
		}
	}
	d.removed[e.ID] = departure{startMilli: e.StartMilli, at: now}
}

// recordLeaving remembers that an incarnation had announced that it leaves and forgets those that did so long ago.
func (d *departures) recordLeaving(now time.Time, e inventory.Endpoint) {
	for x, at := range d.leaving {
		if now.Sub(at) > departureMemory {
			delete(d.leaving, x)
		}
	}
	d.leaving[incarnation{e.ID, e.StartMilli}] = now
}

// wasLeaving reports whether an incarnation was forgotten after it had announced that it leaves.
func (d *departures) wasLeaving(e inventory.Endpoint) bool {
	_, ok := d.leaving[incarnation{e.ID, e.StartMilli}]
	return ok
}

// cancel forgets the contradicting entry of an endpoint because a later change of the entry is known.
func (d *departures) cancel(id ident.Endpoint) { delete(d.contradicting, id) }

// RestoreConfiguration puts a configuration from a restored store in force, unless a newer one already is.
func (f *Frontend) RestoreConfiguration(t *routing.Table) {
	if old := f.routes.Load(); old != nil && t.Version < old.Version {
		f.log.Warn("restored configuration is older than the one in force; it is ignored", slog.Int64("Version", t.Version), slog.Int64("InForce", old.Version))
		return
	}
	f.Configure(t)
}

// RestoreVersion declares the version of an adapter from a restored store, unless a newer one has been declared.
func (f *Frontend) RestoreVersion(av ident.AdapterVersion) {
	f.mu.Lock()
	current, declared := f.versions[av.Adapter]
	f.mu.Unlock()
	if declared && !isNewer(av.Version, current) {
		if av.Version != current {
			f.log.Warn("restored adapter version is not newer than the declared one; it is ignored", slog.String("Adapter", av.String()), slog.String("Declared", string(current)))
		}
		return
	}
	f.DeclareVersion(av)
}

// isNewer reports whether a version is newer than another one; versions are integers, and others are never newer.
func isNewer(v, than ident.Version) bool {
	a, errA := strconv.ParseInt(string(v), 10, 64)
	b, errB := strconv.ParseInt(string(than), 10, 64)
	return errA == nil && errB == nil && a > b
}

// RestoreEndpoint applies a discovery entry from a restored store. An entry of an endpoint that was removed, or of another incarnation
// than the known one, counts only if it is still there when those of departed endpoints have expired.
func (f *Frontend) RestoreEndpoint(d inventory.Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	e := f.endpoints[d.ID]
	x, removed := f.departures.removed[d.ID]
	if (e == nil && removed && d.StartMilli <= x.startMilli) || (e != nil && e.StartMilli != d.StartMilli) {
		f.departures.contradicting[d.ID] = contradiction{endpoint: d, countFrom: now.Add(restoredEntryDelay)}
		f.log.Warn("restored discovery entry contradicts what is known; it does not count yet", slog.String("Endpoint", string(d.ID)), slog.Int64("Born", d.StartMilli),
			slog.Bool("Removed", e == nil), slog.Int64("DelayMilli", restoredEntryDelay.Milliseconds()))
		return
	}
	f.updateEndpoint(d)
}

// applyRestoredEndpoints applies the contradicting entries that have not changed or expired within the delay; the lock is held.
func (f *Frontend) applyRestoredEndpoints(now time.Time) {
	for id, x := range f.departures.contradicting {
		if !now.Before(x.countFrom) {
			f.departures.cancel(id)
			f.updateEndpoint(x.endpoint)
		}
	}
}
