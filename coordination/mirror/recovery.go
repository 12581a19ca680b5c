package mirror

import (
	"log/slog"
	"slices"
	"time"

	"github.com/coder/quartz"

	"shallotring.dev/state/ident"
)

const (
	// maxLoggedKeys limits the keys that one line of the log names.
	maxLoggedKeys = 8
	// contactMargin is the time before the contact timeout at which missing keys count as deleted: a full read follows first.
	contactMargin = 250 * time.Millisecond
)

// recovery is what a mirror knows of the last interruption: an outage of the store, a failure of the path to it, or a restoration.
type recovery struct {
	// former is the position before the interruption.
	former ident.Position
	// graceEnd is the time from which a key that is still missing counts as deleted; missing has it for each such key. A later interruption extends
	// it only if that was an outage of the store, in which no owner could write its key again.
	graceEnd time.Time
	missing  map[string]absence
	// restored is set if the store was restored from an older copy.
	restored bool
}

// absence is what is known of a key that is missing: when it counts as deleted, and whether it has been reported as missing.
type absence struct {
	end      time.Time
	reported bool
}

// comparison is a full read beside what the mirror has: the known keys that the read lacks, how many it has that exist since before the
// interruption (kept), and how many were created again after it.
type comparison struct {
	missing   []string
	kept      int
	recreated int
}

// storeWorked reports whether most keys were there all the while. Then their owners reached the store, so that the others are missing for reasons
// of their own, and not since their leases expired in an outage.
func (c comparison) storeWorked() bool { return c.kept >= c.recreated+len(c.missing) }

// beginGrace begins the grace period of the first full read after an interruption.
func (m *Mirror) beginGrace(restored bool) {
	now := m.clock.Now()
	m.graceEnd = now.Add(m.recoveryGrace)
	if m.contactTimeout > 0 && !m.respondedAt.IsZero() {
		// The interruption lasted until then at least.
		until := m.respondedAt
		if t := m.store.UnansweredAt(); t.After(until) && !restored {
			until = t
		}
		if limit := until.Add(m.contactTimeout - contactMargin); limit.Before(m.graceEnd) {
			m.graceEnd = limit
		}
	}
	m.former, m.restored = m.position, restored
}

// compare compares a full read with the mirror.
func (m *Mirror) compare(list []Record) (c comparison) {
	seen := make(map[string]bool, len(list))
	for _, r := range list {
		seen[r.Key] = true
		if _, known := m.positions[r.Key]; !known {
			continue
		}
		if r.Created > m.former.Revision {
			c.recreated++
		} else {
			c.kept++
		}
	}
	for key := range m.positions {
		if !seen[key] {
			c.missing = append(c.missing, key)
		}
	}
	slices.Sort(c.missing)
	return c
}

// missingRecords returns the records of the keys that a full read lacks: those that count as deleted now, and those that are reported as missing.
func (m *Mirror) missingRecords(at ident.Position, found comparison) (list []Record) {
	now := m.clock.Now()
	// The revisions of two eras cannot be compared.
	storeWorked := found.storeWorked() && !m.restored
	var deleted, doubted []string
	for _, key := range found.missing {
		x, known := m.missing[key]
		if !known || !storeWorked {
			x.end = m.graceEnd
		}
		if !now.Before(x.end) {
			deleted = append(deleted, key)
			list = append(list, Record{Key: key, Revision: at.Revision, Deleted: true})
			continue
		}
		if storeWorked && m.reportsMissing && !x.reported {
			x.reported = true
			doubted = append(doubted, key)
			list = append(list, Record{Key: key, Revision: at.Revision, Missing: true})
		}
		m.missing[key] = x
		if x.end.Before(m.nextFullRead) {
			m.nextFullRead = x.end
		}
	}
	m.logMissing("missing keys count as deleted", deleted, found)
	m.logMissing("keys went missing while others stayed", doubted, found)
	return list
}

// logMissing records what was decided about keys that a full read lacks.
func (m *Mirror) logMissing(message string, missing []string, c comparison) {
	if len(missing) == 0 {
		return
	}
	m.log.Info(message, slog.String("Prefix", m.prefix), slog.Any("Keys", sample(missing)), slog.Int("Missing", len(missing)), slog.Int("Kept", c.kept),
		slog.Int("Recreated", c.recreated), slog.Int64("GraceMilli", max(m.clock.Until(m.graceEnd), 0).Milliseconds()),
		slog.Int64("UnansweredMilli", milliSince(m.clock, m.store.UnansweredAt())))
}

// logRecovery records the first full read after an interruption.
func (m *Mirror) logRecovery(at ident.Position, c comparison) {
	m.log.Info("store is reachable again", slog.String("Prefix", m.prefix), slog.Int64("Revision", int64(at.Revision)), slog.Int64("FormerRevision", int64(m.position.Revision)),
		slog.Int64("SilenceMilli", milliSince(m.clock, m.respondedAt)), slog.Int64("UnansweredMilli", milliSince(m.clock, m.store.UnansweredAt())),
		slog.Int("Kept", c.kept), slog.Int("Recreated", c.recreated), slog.Int("Missing", len(c.missing)), slog.Any("Keys", sample(c.missing)))
}

// sample returns the first keys of a list.
func sample(keys []string) []string { return keys[:min(len(keys), maxLoggedKeys)] }

// milliSince returns the time since t in milliseconds, -1 if there is no t.
func milliSince(c quartz.Clock, t time.Time) int64 {
	if t.IsZero() {
		return -1
	}
	return c.Since(t).Milliseconds()
}
