package hosts

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/coder/quartz"

	"shallotring.dev/state/ident"
)

// HostState is one host in the list.
type HostState struct {
	Host    ident.Host
	Leaving bool
}

type change struct {
	HostState
	removed   bool
	visibleAt time.Time
}

// List makes changes visible only after a lag, as the platform's list does. Its methods may be called concurrently.
type List struct {
	clock quartz.Clock
	lag   time.Duration

	mu      sync.Mutex
	visible map[ident.Host]HostState
	pending []change
}

// New returns an empty list whose changes become visible after the lag.
func New(clock quartz.Clock, lag time.Duration) *List {
	return &List{clock: clock, lag: lag, visible: make(map[ident.Host]HostState)}
}

// Set adds or changes a host.
func (l *List) Set(e HostState) { l.addPending(change{HostState: e}) }

// Remove removes a host from the list.
func (l *List) Remove(h ident.Host) {
	l.addPending(change{HostState: HostState{Host: h}, removed: true})
}

func (l *List) addPending(c change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.visibleAt = l.clock.Now().Add(l.lag)
	l.pending = append(l.pending, c)
}

// Hosts returns the visible hosts, sorted by name.
func (l *List) Hosts() (list []HostState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	for len(l.pending) > 0 && !now.Before(l.pending[0].visibleAt) {
		l.apply(l.pending[0])
		l.pending = l.pending[1:]
	}
	for _, e := range l.visible {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b HostState) int { return strings.Compare(string(a.Host), string(b.Host)) })
	return list
}

func (l *List) apply(c change) {
	if c.removed {
		delete(l.visible, c.Host)
		return
	}
	l.visible[c.Host] = c.HostState
}

// ServeHTTP responds to GET with the visible hosts as JSON. The body of PUT is one HostState to set; DELETE removes the host that
// its HostState names. PUT and DELETE stand for the changes that the platform makes when it plans maintenance.
func (l *List) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPut || r.Method == http.MethodDelete {
		l.serveChange(w, r)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(l.Hosts())
}

func (l *List) serveChange(w http.ResponseWriter, r *http.Request) {
	var e HostState
	if err := json.NewDecoder(r.Body).Decode(&e); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if r.Method == http.MethodDelete {
		l.Remove(e.Host)
		return
	}
	l.Set(e)
}
