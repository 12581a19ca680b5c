package direct_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"shallotring.dev/daemon/trial"
	"shallotring.dev/platform/standin"
)

// revokeBound is the time after the store's confirmation within which a key stops at each entry.
const revokeBound = 4 * time.Second

// keyTraffic sends requests with keys and keeps what endpoints got of them.
type keyTraffic struct {
	*deployment
	mu       sync.Mutex
	arrivals map[string]standin.Arrival
	sent     int
}

func (k *keyTraffic) record(a standin.Arrival) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.arrivals[a.ID] = a
}

// request sends a request through an entry; a is what the endpoint got, and ran whether it got the request.
func (k *keyTraffic) request(entry int, target, key string) (status int, a standin.Arrival, ran bool) {
	k.sent++
	call := k.ModelRequest(fmt.Sprint("key-", k.sent))
	if target != "/g/1" {
		call = standin.Call{ID: call.ID, Method: http.MethodGet, Target: target, Host: trial.Host}
	}
	call.Key, call.Tenant, call.Timeout = key, "forged", 4*time.Second
	status, _ = k.Exchange(k.Fronts[entry], call)
	k.mu.Lock()
	defer k.mu.Unlock()
	a, ran = k.arrivals[call.ID]
	return status, a, ran
}

func (k *keyTraffic) status(entry int, target, key string) int {
	status, _, _ := k.request(entry, target, key)
	return status
}

// TestKeysOpenRoutesUntilTheyAreTakenAway guards against requests that run without a key of a tenant, endpoints that see keys, and keys that work later
// than the bound after the store has confirmed that they are taken away, also at an entry that does not reach the store.
func TestKeysOpenRoutesUntilTheyAreTakenAway(t *testing.T) {
	k := &keyTraffic{arrivals: make(map[string]standin.Arrival)}
	k.deployment = deploySize(t, trial.Size{Engines: 1, Entries: 1, Instances: 1, RevokeTimeout: revokeBound}, standin.WithJournal(k.record), standin.WithPace(2, time.Millisecond))
	relay, err := standin.NewRelay(k.StoreAddress())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(relay.Close)
	if err = k.AddEntryAt("edge-2", relay.Address()); err != nil {
		t.Fatal(err)
	}
	const cutOff = 1
	urgent := 2
	b := standin.Tenant{Name: "b", Keys: []string{"kb"}}
	k.Configure(2, standin.Tenant{Name: "a", Keys: []string{"ka1", "ka2"}, Priority: &urgent}, b)
	for entry := range 2 {
		// Version 1 has no tenants and serves any key, so a refusal shows that version 2 is in force.
		waitFor(t, "version 2 is in force, and requests with keys are served", func() bool {
			return k.status(entry, "/l/1", "kx") == http.StatusUnauthorized && k.status(entry, "/g/1", "ka1") == http.StatusOK && k.status(entry, "/l/1", "kb") == http.StatusOK
		})
		for _, c := range []struct {
			target, key    string
			status         int
			tenant, urgent string
		}{
			{"/g/1", "ka2", http.StatusOK, "a", "2"},
			{"/g/1", "kb", http.StatusOK, "b", "0"},
			{"/l/1", "ka1", http.StatusOK, "a", ""},
			{"/l/1", "kx", http.StatusUnauthorized, "", ""},
			{"/l/1", "", http.StatusUnauthorized, "", ""},
			{"/x/1", "", http.StatusNotFound, "", ""},
			{"/p/1", "", http.StatusOK, "", ""},
			{"/p/1", "ka1", http.StatusOK, "", ""},
		} {
			status, a, ran := k.request(entry, c.target, c.key)
			if status != c.status || ran != (c.status == http.StatusOK) || a.Credentials != "" || a.Tenant != c.tenant || a.Priority != c.urgent {
				t.Errorf("entry %d, %s with key %q: status %d, ran %t, %+v", entry, c.target, c.key, status, ran, a)
			}
		}
	}
	relay.SetPath(standin.CutPath)
	k.Configure(3, standin.Tenant{Name: "a", Keys: []string{"ka2"}}, b)
	end := time.Now().Add(revokeBound)
	waitFor(t, "the key that was taken away is refused", func() bool { return k.status(0, "/l/1", "ka1") == http.StatusUnauthorized })
	waitFor(t, "the entry that is cut off refuses keys", func() bool {
		sent := time.Now()
		status := k.status(cutOff, "/l/1", "ka1")
		if status == http.StatusOK && sent.After(end) {
			t.Errorf("a request with the key ran %v after the bound", sent.Sub(end))
		}
		return status == http.StatusServiceUnavailable
	})
	for _, c := range []struct {
		entry       int
		target, key string
		status      int
	}{
		{0, "/l/1", "ka2", http.StatusOK},
		{cutOff, "/l/1", "ka2", http.StatusServiceUnavailable},
		{cutOff, "/l/1", "kx", http.StatusServiceUnavailable},
		{cutOff, "/p/1", "", http.StatusOK},
	} {
		if status := k.status(c.entry, c.target, c.key); status != c.status {
			t.Errorf("entry %d, %s with key %q: status %d, want %d", c.entry, c.target, c.key, status, c.status)
		}
	}
	relay.SetPath(standin.OpenPath)
	waitFor(t, "the entry serves again", func() bool { return k.status(cutOff, "/l/1", "ka2") == http.StatusOK })
	if status := k.status(cutOff, "/l/1", "ka1"); status != http.StatusUnauthorized {
		t.Errorf("status %d with the key that was taken away", status)
	}
}
