package sidecar

import (
	"context"
	"log/slog"
	"net"
	"time"

	"shallotring.dev/protocol/control"
	"shallotring.dev/state/ident"
)

// entryLink is the connection of one entry.
type entryLink struct {
	conn *control.Conn
	host ident.Host
	// number grows with each connection.
	number int64
	// states holds at most one state, the newest one that has not been sent yet.
	states chan control.State
	// takesEvidence is set if the entry can read evidence.
	takesEvidence bool
	// evidence holds what other entries have seen and this one has not been sent yet.
	evidence chan control.Evidence
	// reportedStart is the start time of the engine's incarnation that the entry's reports are about; only controlEngine uses it.
	reportedStart int64
}

// serveEntry reads the messages of one entry; a second goroutine sends it the newest state.
func (s *Sidecar) serveEntry(ctx context.Context, c net.Conn) {
	link := &entryLink{conn: control.NewConn(c), number: s.connections.Add(1), states: make(chan control.State, 1), evidence: make(chan control.Evidence, maxEvidence)}
	defer link.conn.Close()
	stop := context.AfterFunc(ctx, link.conn.Close)
	defer stop()
	var first control.UsageReport
	if err := link.conn.Receive(&first, entrySilenceTimeout); err != nil || first.Host == "" {
		s.log.Warn("connection of an entry closed: its first message is missing, invalid or names no host", slog.String("Peer", c.RemoteAddr().String()), slog.Any("Error", err))
		return
	}
	link.host, link.takesEvidence = first.Host, first.TakesEvidence
	done := make(chan struct{})
	defer close(done)
	go func() {
		// Traffic between availability zones is paid for, and most of a state is unchanged.
		w := control.StateWriter{Deltas: first.Deltas}
		for {
			select {
			case state := <-link.states:
				if err := link.conn.Send(w.Message(state)); err != nil {
					link.conn.Close()
					return
				}
			case v := <-link.evidence:
				if err := link.conn.Send(control.State{Evidence: &v}); err != nil {
					link.conn.Close()
					return
				}
			case <-done:
				return
			}
		}
	}()
	s.emit(ctx, event{link: link, connected: true, report: first})
	for {
		var report control.UsageReport
		if err := link.conn.Receive(&report, entrySilenceTimeout); err != nil {
			s.log.Info("connection to the entry lost", slog.String("Entry", string(link.host)), slog.Any("Error", err))
			s.endUsage(link, err)
			s.emit(ctx, event{link: link, disconnected: true})
			return
		}
		if report.Observed != nil || report.Send != nil {
			if err := s.shareLimit(link, report); err != nil {
				s.log.Info("a grant could not be sent to the entry", slog.String("Entry", string(link.host)), slog.Any("Error", err))
			}
			continue
		}
		if report.Usage != nil {
			if err := s.shareUsage(link, *report.Usage); err != nil {
				s.log.Info("a grant of usage could not be sent to the entry", slog.String("Entry", string(link.host)), slog.Any("Error", err))
			}
			continue
		}
		s.emit(ctx, event{link: link, report: report})
	}
}

// replaceLinks forgets the earlier connections of an entry that connects again, with what they have reported: the entry reports all its uses
// on the new one.
func (s *Sidecar) replaceLinks(now time.Time, host ident.Host) {
	for x := range s.links {
		if x.host == host {
			delete(s.links, x)
			s.keeper.RemoveEntry(now, host)
			s.log.Info("entry connected again; its earlier connection does not count", slog.String("Entry", string(host)))
		}
	}
}

// aboutEngine reports whether an entry's report is about the current incarnation of the engine. A report of an entry that has not noticed a
// restart yet does not count, since no later one would correct it.
func (s *Sidecar) aboutEngine(x *entryLink, r control.UsageReport) bool {
	if r.Born != 0 {
		x.reportedStart = r.Born
	}
	current := x.reportedStart == 0 || s.startMilli == 0 || x.reportedStart == s.startMilli
	if !current && r.Born != 0 {
		s.log.Info("reports of the entry are about another incarnation of the engine; they do not count", slog.String("Entry", string(x.host)),
			slog.Int64("Born", r.Born), slog.Int64("Current", s.startMilli))
	}
	return current
}

// enqueueState replaces a state that has not been sent to the entry yet.
func (x *entryLink) enqueueState(state control.State) {
	select {
	case <-x.states:
	default:
	}
	x.states <- state
}
