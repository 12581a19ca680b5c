package history

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash"
	"io"
	"slices"
	"time"
)

// maxEvents limits the events in memory; the digest covers all events.
const maxEvents = 300_000

type event struct {
	at       time.Duration
	subjects [3]string
	text     string
}

// Log stores the latest events and a digest of all events.
type Log struct {
	now    func() time.Time
	start  time.Time
	events []event
	oldest int
	count  int
	digest hash.Hash
}

// New returns an empty log.
func New(now func() time.Time) *Log { return &Log{now: now, start: now(), digest: sha256.New()} }

// Add records an event that concerns up to three subjects.
func (l *Log) Add(subjects [3]string, format string, args ...any) {
	x := event{at: l.now().Sub(l.start), subjects: subjects, text: fmt.Sprintf(format, args...)}
	_, _ = fmt.Fprintf(l.digest, "%d %q %s\n", x.at, x.subjects, x.text)
	l.count++
	if len(l.events) < maxEvents {
		l.events = append(l.events, x)
		return
	}
	l.events[l.oldest] = x
	l.oldest = (l.oldest + 1) % maxEvents
}

// Digest returns the SHA-256 over all events so far.
func (l *Log) Digest() string { return hex.EncodeToString(l.digest.Sum(nil)) }

// Count returns the number of events so far.
func (l *Log) Count() int { return l.count }

// Print writes the events that concern any of the subjects.
func (l *Log) Print(out io.Writer, subjects ...string) (err error) {
	for i := range l.events {
		x := l.events[(l.oldest+i)%len(l.events)]
		if !slices.ContainsFunc(x.subjects[:], func(s string) bool { return s != "" && slices.Contains(subjects, s) }) {
			continue
		}
		if _, err = fmt.Fprintf(out, "%12.6fs %v %s\n", x.at.Seconds(), x.subjects, x.text); err != nil {
			return err
		}
	}
	return nil
}
