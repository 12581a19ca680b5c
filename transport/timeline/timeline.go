package timeline

import (
	"context"
	"io"
	"log/slog"
	"time"

	"shallotring.dev/state/ident"
	"shallotring.dev/state/outcome"
)

// Kind names what happened; it is the message of the log line.
type Kind string

// Kinds of events. A bucket is a part of the ledger that one process owns at a time.
const (
	RequestReceived      Kind = "request received"
	RequestRefused       Kind = "request refused"
	TryDispatched        Kind = "try dispatched"
	TryAccepted          Kind = "try accepted"
	TryStarted           Kind = "try started"
	TryRefused           Kind = "try refused"
	TryAbandoned         Kind = "try abandoned"
	TryEnded             Kind = "try ended"
	TrySettled           Kind = "try settled"
	RequestFinished      Kind = "request finished"
	LoadStarted          Kind = "load started"
	LoadFinished         Kind = "load finished"
	LoadFailed           Kind = "load failed"
	AdapterEvicted       Kind = "adapter evicted"
	EngineRestarted      Kind = "engine restarted"
	EndpointClaimed      Kind = "endpoint claimed"
	EndpointReleased     Kind = "endpoint released"
	DrainStarted         Kind = "drain started"
	DrainFinished        Kind = "drain finished"
	ConfigurationInForce Kind = "configuration in force"
	BucketTaken          Kind = "bucket taken"
	BucketReleased       Kind = "bucket released"
	InvariantViolated    Kind = "invariant violated"
	ProcessStarted       Kind = "process started"
	ProcessStopping      Kind = "process stopping"
	ProcessStopped       Kind = "process stopped"
)

// Event is one event of the timeline; empty fields are omitted from its log line.
type Event struct {
	Kind             Kind
	RequestID        ident.RequestID
	Try              ident.Try
	Caller           ident.Caller
	Adapter          ident.Adapter
	Version          ident.Version
	Service          ident.Service
	Endpoint         ident.Endpoint
	Incarnation      ident.Incarnation
	Outcome          outcome.Outcome
	Reason           outcome.Reason
	Status           int
	PromptTokens     ident.Tokens
	CompletionTokens ident.Tokens
	Stall            time.Duration
	Duration         time.Duration
	Revision         ident.Revision
	// ReplayOf is the request whose recorded response was returned.
	ReplayOf ident.RequestID
	Detail   string
}

// Process identifies the process that writes a log.
type Process struct {
	ID   ident.Process
	Role string
	Host ident.Host
	Zone ident.Zone
}

// Log writes events and ordinary log lines as JSON lines with the same fixed fields.
type Log struct {
	*slog.Logger
}

// New returns a log that names the process on each line.
func New(out io.Writer, p Process, level slog.Level) *Log {
	h := slog.NewJSONHandler(out, &slog.HandlerOptions{Level: level, ReplaceAttr: pascalCase})
	return &Log{Logger: slog.New(h).With(
		slog.String("Process", string(p.ID)),
		slog.String("Role", p.Role),
		slog.String("Host", string(p.Host)),
		slog.String("Zone", string(p.Zone)),
	)}
}

// Discard returns a log that writes nothing.
func Discard() *Log { return &Log{Logger: slog.New(slog.DiscardHandler)} }

// maxEventAttrs is at least the number of attributes of an event, so that their slice is allocated once.
const maxEventAttrs = 18

// Event writes one event.
func (l *Log) Event(e Event) {
	level := slog.LevelInfo
	if e.Kind == InvariantViolated {
		level = slog.LevelError
	}
	l.LogAttrs(context.Background(), level, string(e.Kind), e.attrs()...)
}

func (e Event) attrs() (list []slog.Attr) {
	list = make([]slog.Attr, 0, maxEventAttrs)
	list = append(list, slog.Bool("Event", true))
	addString := func(key, value string) {
		if value != "" {
			list = append(list, slog.String(key, value))
		}
	}
	addInt := func(key string, value int64) {
		if value != 0 {
			list = append(list, slog.Int64(key, value))
		}
	}
	addString("RequestID", string(e.RequestID))
	addInt("Try", int64(e.Try))
	addString("Caller", string(e.Caller))
	addString("Adapter", string(e.Adapter))
	addString("Version", string(e.Version))
	addString("Service", string(e.Service))
	addString("Endpoint", string(e.Endpoint))
	addInt("Incarnation", int64(e.Incarnation))
	addString("Outcome", string(e.Outcome))
	addString("Reason", string(e.Reason))
	addInt("Status", int64(e.Status))
	addInt("PromptTokens", int64(e.PromptTokens))
	addInt("CompletionTokens", int64(e.CompletionTokens))
	addInt("StallMilli", e.Stall.Milliseconds())
	addInt("DurationMilli", e.Duration.Milliseconds())
	addInt("Revision", int64(e.Revision))
	addString("ReplayOf", string(e.ReplayOf))
	addString("Detail", e.Detail)
	return list
}

// pascalCase renames the built-in keys of slog to Pascal case, like all other keys.
func pascalCase(groups []string, a slog.Attr) slog.Attr {
	if len(groups) > 0 {
		return a
	}
	switch a.Key {
	case slog.TimeKey:
		a.Key = "Time"
	case slog.LevelKey:
		a.Key = "Level"
	case slog.MessageKey:
		a.Key = "Message"
	}
	return a
}
