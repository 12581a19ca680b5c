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
	Files    []string  `arg:"" optional:"" help:"Log files (JSON lines); standard input by default."`
	Request  string    `help:"Show only lines of this request." placeholder:"ID"`
	Adapter  string    `help:"Show only lines of this adapter." placeholder:"NAME"`
	Endpoint string    `help:"Show only lines of this endpoint." placeholder:"NAME"`
	Since    time.Time `help:"Show only lines from this time on (RFC 3339)." placeholder:"TIME"`
	Until    time.Time `help:"Show only lines before this time (RFC 3339)." placeholder:"TIME"`
}

// Help returns the details of the command.
func (*timelineCommand) Help() string {
	return `Lines are sorted by the times that the processes wrote, so the order between hosts is only as exact as their clocks.

Example:

    shallotring timeline --request req-0123 --output json logs/*.log

TOKENS shows prompt+completion. A request that repeats an idempotency key has its own ID and no try; its last line names
the request whose response was returned, and only that request ran.`
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
		io.WriteString(s.Err, fmt.Sprintf("shallotring: skipped %d lines that are not timeline events\n", skipped))
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
		detail = "response of " + string(l.ReplayOf)
	}
	return []string{
		l.Time.UTC().Format(time.RFC3339Nano),
		string(l.Process),
		l.Message,
		string(l.RequestID),
		formatPositive(int64(l.Try), ""),
		string(l.Caller),
		cmp.Or(ident.AdapterVersion{Adapter: l.Adapter, Version: l.Version}.String(), string(l.Service)),
		string(l.Endpoint),
		formatPositive(int64(l.Status), ""),
		l.Outcome,
		l.Reason,
		formatTokens(l),
		formatPositive(l.StallMilli, "ms"),
		formatPositive(l.DurationMilli, "ms"),
		detail,
	}
}

// formatPositive formats a number with its unit; zero means that the event has no such number.
func formatPositive(n int64, unit string) string {
	if n <= 0 {
		return ""
	}
	return strconv.FormatInt(n, 10) + unit
}

// formatTokens formats the numbers of prompt and completion tokens.
func formatTokens(l timeline.Line) string {
	if l.PromptTokens == 0 && l.CompletionTokens == 0 {
		return ""
	}
	return fmt.Sprintf("%d+%d", l.PromptTokens, l.CompletionTokens)
}

type versionCommand struct{}

// Run shows the version and the commit that the build recorded.
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
