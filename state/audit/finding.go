package audit

import (
	"cmp"
	"fmt"
	"slices"
)

// Severity says what a finding means for callers.
type Severity string

// Severities, in the order in which they are reported.
const (
	// Error marks what entries or agents refuse or ignore, or what refuses or harms callers.
	Error Severity = "error"
	// Warning marks what has no effect, or another one than it seems to have.
	Warning Severity = "warning"
	// Info marks facts that an operator should know before writing the configuration.
	Info Severity = "info"
)

var ranks = map[Severity]int{Error: 0, Warning: 1, Info: 2}

// Finding is one result of an examination.
type Finding struct {
	Severity Severity
	// Place names what the finding is about, such as "routes/r-1".
	Place string
	// Text says what was found, Advice what to do; Advice is empty for differences.
	Text   string
	Advice string `json:",omitempty"`
}

// findings collects findings.
type findings []Finding

func (f *findings) add(s Severity, place, advice, format string, args ...any) {
	*f = append(*f, Finding{Severity: s, Place: place, Text: fmt.Sprintf(format, args...), Advice: advice})
}

// Sort orders findings by severity; findings of one severity keep their order.
func Sort(list []Finding) {
	slices.SortStableFunc(list, func(a, b Finding) int { return cmp.Compare(ranks[a.Severity], ranks[b.Severity]) })
}

// Harmful reports whether any finding is an error.
func Harmful(list []Finding) bool {
	return slices.ContainsFunc(list, func(f Finding) bool { return f.Severity == Error })
}
