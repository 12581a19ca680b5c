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

// Entry is one host in the list.
type Entry struct {
	Host    ident.Host
	Leaving bool
}

type change struct {
	Entry
	removed   bool
	visibleAt time.Time
}

// List shows changes only after a lag, as the platform's list does.
type List struct {
	clock quartz.Clock
	lag   time.Duration

	mu      sync.Mutex
	shown   map[ident.Host]Entry
	pending []change
}

// New returns an empty list whose changes become visible after the lag.
func New(clock quartz.Clock, lag time.Duration) *List {
	return &List{clock: clock, lag: lag, shown: make(map[ident.Host]Entry)}
}

// Set adds or changes a host.
func (l *List) Set(e Entry) { l.add(change{Entry: e}) }

// Remove takes a host out of the list.
func (l *List) Remove(h ident.Host) { l.add(change{Entry: Entry{Host: h}, removed: true}) }

func (l *List) add(c change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.visibleAt = l.clock.Now().Add(l.lag)
	l.pending = append(l.pending, c)
}

// Hosts returns the visible hosts in order of name.
func (l *List) Hosts() (list []Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	for len(l.pending) > 0 && !now.Before(l.pending[0].visibleAt) {
		l.apply(l.pending[0])
		l.pending = l.pending[1:]
	}
	for _, e := range l.shown {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b Entry) int { return strings.Compare(string(a.Host), string(b.Host)) })
	return list
}

func (l *List) apply(c change) {
	if c.removed {
		delete(l.shown, c.Host)
		return
	}
	l.shown[c.Host] = c.Entry
}

// ServeHTTP answers GET with the visible hosts as JSON. PUT takes one Entry and DELETE removes the host that it names,
// as the platform does when it plans work.
func (l *List) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPut || r.Method == http.MethodDelete {
		l.change(w, r)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(l.Hosts())
}

func (l *List) change(w http.ResponseWriter, r *http.Request) {
	var e Entry
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
