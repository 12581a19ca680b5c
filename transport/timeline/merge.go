package timeline

import (
	"bufio"
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"shallotring.dev/state/ident"
)

// maxLineBytes limits the length of one line; Merge fails at a longer one. The project's programs write only shorter ones.
const maxLineBytes = 1 << 20

// Line is one line of a log, with the fields that programs read from it.
type Line struct {
	Time      time.Time
	Level     string
	Message   string
	Process   ident.Process
	Role      string
	RequestID ident.RequestID
	Try       ident.Try
	Caller    ident.Caller
	Adapter   ident.Adapter
	Version   ident.Version
	Service   ident.Service
	Endpoint  ident.Endpoint
	Outcome   string
	Reason    string
	Status    int
	// PromptTokens and CompletionTokens are those that the engine reported for the try or the request.
	PromptTokens     ident.Tokens
	CompletionTokens ident.Tokens
	StallMilli       int64
	DurationMilli    int64
	ReplayOf         ident.RequestID
	Detail           string
	// Raw is the line as it was logged.
	Raw json.RawMessage `json:"-"`
}

// Filter selects lines; zero fields select all.
type Filter struct {
	RequestID ident.RequestID
	Adapter   ident.Adapter
	Endpoint  ident.Endpoint
	// Since is the earliest time of the selected lines; Until is the first time after them.
	Since time.Time
	Until time.Time
}

func (f Filter) matches(l *Line) bool {
	switch {
	case f.RequestID != "" && f.RequestID != l.RequestID:
		return false
	case f.Adapter != "" && f.Adapter != l.Adapter:
		return false
	case f.Endpoint != "" && f.Endpoint != l.Endpoint:
		return false
	case !f.Since.IsZero() && l.Time.Before(f.Since):
		return false
	}
	return f.Until.IsZero() || l.Time.Before(f.Until)
}

// Merge reads logs and returns the selected lines in order of time; lines of the same time keep the order of the logs.
// skipped is the number of lines that are not log lines of the project, such as the output of other programs.
func Merge(f Filter, logs ...io.Reader) (list []Line, skipped int, err error) {
	for _, r := range logs {
		lines := bufio.NewScanner(r)
		lines.Buffer(nil, maxLineBytes)
		for lines.Scan() {
			l, ok := parseLine(lines.Bytes())
			if !ok {
				skipped++
			} else if f.matches(&l) {
				list = append(list, l)
			}
		}
		if err = lines.Err(); err != nil {
			return nil, skipped, eris.Wrap(err, "read log")
		}
	}
	slices.SortStableFunc(list, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return list, skipped, nil
}

func parseLine(text []byte) (l Line, ok bool) {
	if json.Unmarshal(text, &l) != nil || l.Time.IsZero() {
		return Line{}, false
	}
	l.Raw = slices.Clone(text)
	return l, true
}
