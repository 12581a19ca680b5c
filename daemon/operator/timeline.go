package operator

import (
	"cmp"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"shallotring.dev/state/ident"
	"shallotring.dev/transport/timeline"
)

type timelineCommand struct {
	Files    []string  `arg:"" optional:"" help:"Log files in JSON lines; standard input without them."`
	Request  string    `help:"Only lines of this request." placeholder:"ID"`
	Adapter  string    `help:"Only lines of this adapter." placeholder:"NAME"`
	Endpoint string    `help:"Only lines of this endpoint." placeholder:"NAME"`
	Since    time.Time `help:"Only lines from this time on (RFC 3339)." placeholder:"TIME"`
	Until    time.Time `help:"Only lines before this time (RFC 3339)." placeholder:"TIME"`
}

// Help returns the details of the command.
func (*timelineCommand) Help() string {
	return `Lines are ordered by the times that the processes wrote, so the order between hosts is as exact as their clocks.

Example:

    shallotring timeline --request req-0123 --output json logs/*.log

TOKENS shows prompt+completion. A repeated idempotency key has a request of its own without a try; its last line names
the request whose answer was returned, and only that one ran.`
}

// Run merges the logs.
func (c *timelineCommand) Run(s *session) (err error) {
	var logs []io.Reader
	var opened []io.Closer
	defer func() {
		for _, f := range opened {
			f.Close()
		}
	}()
	for _, path := range c.Files {
		f, err := os.Open(path)
		if err != nil {
			return eris.Wrap(errUsage, err.Error())
		}
		logs, opened = append(logs, f), append(opened, f)
	}
	if len(logs) == 0 {
		logs = append(logs, s.In)
	}
	list, skipped, err := timeline.Merge(timeline.Filter{
		RequestID: ident.RequestID(c.Request),
		Adapter:   ident.Adapter(c.Adapter),
		Endpoint:  ident.Endpoint(c.Endpoint),
		Since:     c.Since,
		Until:     c.Until,
	}, logs...)
	if err != nil {
		return err
	}
	if skipped > 0 {
		io.WriteString(s.Err, fmt.Sprintf("shallotring: %d lines are no events and were left out\n", skipped))
	}
	rows, values := make([][]string, len(list)), make([]any, len(list))
	for i, l := range list {
		rows[i], values[i] = timelineRow(l), l.Raw
	}
	return s.print("TIME PROCESS EVENT REQUEST TRY CALLER ADAPTER ENDPOINT STATUS OUTCOME REASON TOKENS STALL DURATION DETAIL", rows, values)
}

func timelineRow(l timeline.Line) []string {
	detail := l.Detail
	if l.ReplayOf != "" {
		detail = "answer of " + string(l.ReplayOf)
	}
	return []string{
		l.Time.UTC().Format(time.RFC3339Nano),
		string(l.Process),
		l.Message,
		string(l.RequestID),
		positive(int64(l.Try), ""),
		string(l.Caller),
		cmp.Or(ident.AdapterVersion{Adapter: l.Adapter, Version: l.Version}.String(), string(l.Service)),
		string(l.Endpoint),
		positive(int64(l.Status), ""),
		l.Outcome,
		l.Reason,
		tokens(l),
		positive(l.StallMilli, "ms"),
		positive(l.DurationMilli, "ms"),
		detail,
	}
}

// positive shows a number with its unit; zero means that the event does not have it.
func positive(n int64, unit string) string {
	if n <= 0 {
		return ""
	}
	return strconv.FormatInt(n, 10) + unit
}

// tokens shows prompt and completion tokens.
func tokens(l timeline.Line) string {
	if l.PromptTokens == 0 && l.CompletionTokens == 0 {
		return ""
	}
	return fmt.Sprintf("%d+%d", l.PromptTokens, l.CompletionTokens)
}

type versionCommand struct{}

// Run shows the version that the build recorded.
func (*versionCommand) Run(s *session) (err error) {
	version, revision := "(devel)", ""
	if info, ok := debug.ReadBuildInfo(); ok {
		if info.Main.Version != "" {
			version = info.Main.Version
		}
		for _, x := range info.Settings {
			if x.Key == "vcs.revision" {
				revision = " " + x.Value
			}
		}
	}
	_, err = fmt.Fprintf(s.Out, "shallotring %s%s\n", version, revision)
	return err
}
