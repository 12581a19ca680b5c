package frontend

import (
	"testing"
	"time"

	"github.com/coder/quartz"

	"shallotring.dev/platform/message"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/inventory"
	"shallotring.dev/state/routing"
)

// TestRestoredEntries guards against an endpoint that departed and gets requests again because a restored store lists it, and against an
// endpoint that is lost for good because its entry in the restored store contradicted what was known.
func TestRestoredEntries(t *testing.T) {
	clock := quartz.NewMock(t)
	f := New(message.Headers{}, "edge-1", "a", WithClock(clock))
	entry := func(id ident.Endpoint, startMilli int64) inventory.Endpoint {
		return inventory.Endpoint{ID: id, Service: "s", Address: "127.0.0.1:9", BatchSize: 6, StartMilli: startMilli}
	}
	known := func(id ident.Endpoint) int64 {
		if e := f.endpoints[id]; e != nil {
			return e.StartMilli
		}
		return 0
	}
	check := func(what string, id ident.Endpoint, want int64) {
		t.Helper()
		if got := known(id); got != want {
			t.Errorf("%s: incarnation %d of %s is known, want %d", what, got, id, want)
		}
	}
	for _, id := range []ident.Endpoint{"gone", "lapsed", "again", "restarted"} {
		f.UpdateEndpoint(entry(id, 1))
	}
	for _, id := range []ident.Endpoint{"gone", "lapsed", "again"} {
		f.RemoveEndpoint(id)
	}
	f.UpdateEndpoint(entry("restarted", 2))
	for _, id := range []ident.Endpoint{"gone", "lapsed", "again", "restarted", "unknown"} {
		f.RestoreEndpoint(entry(id, 1))
	}
	check("removed before", "gone", 0)
	check("removed before", "lapsed", 0)
	check("never known", "unknown", 1)
	check("restarted since", "restarted", 2)
	f.UpdateEndpoint(entry("again", 1))
	check("written again", "again", 1)
	f.RemoveEndpoint("gone") // the restored entry expires
	clock.Advance(restoredEntryDelay + time.Millisecond)
	f.refreshEndpoints()
	check("expired", "gone", 0)
	check("still listed after the delay", "lapsed", 1)
	check("still listed after the delay", "restarted", 1)
}

// TestRestoredValuesNeverGoBack guards against a configuration or an adapter version that goes back because a restored store has an
// older one.
func TestRestoredValuesNeverGoBack(t *testing.T) {
	f := New(message.Headers{}, "edge-1", "a")
	for _, x := range []struct{ version, want int64 }{{5, 5}, {4, 5}, {9, 9}} {
		f.RestoreConfiguration(routing.New(x.version, nil, nil, routing.Limits{}))
		if got := f.routes.Load().Version; got != x.want {
			t.Errorf("restored configuration %d: %d is in force, want %d", x.version, got, x.want)
		}
	}
	for _, x := range []struct{ version, want ident.Version }{{"9", "9"}, {"8", "9"}, {"10", "10"}, {"odd", "10"}} {
		f.RestoreVersion(ident.AdapterVersion{Adapter: "m/a", Version: x.version})
		if got := f.versions["m/a"]; got != x.want {
			t.Errorf("restored version %s: %s is declared, want %s", x.version, got, x.want)
		}
	}
	f.DeclareVersion(ident.AdapterVersion{Adapter: "m/a", Version: "3"})
	if got := f.versions["m/a"]; got != "3" {
		t.Errorf("version %s is declared, want 3, which the operator declared later", got)
	}
}
