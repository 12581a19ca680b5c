package mediatype

import "strings"

// Type is a media type that decides how a body is read, in lower case and without parameters.
type Type string

// The media types of the bodies that are read; JSON includes the types that end in +json (RFC 6839).
const (
	EventStream Type = "text/event-stream"
	JSON        Type = "application/json"
)

const jsonSuffix = "+json"

// Of reports whether any of the values of Content-Type headers names the type. Several values, or a list in one, are an error of the
// sender that says nothing about the body, so the body is checked as each of them.
func (t Type) Of(contentTypes ...string) bool {
	for _, rest := range contentTypes {
		for rest != "" {
			var value string
			value, rest = cutListed(rest)
			if t.names(value) {
				return true
			}
		}
	}
	return false
}

// names reports whether the value, a media type with parameters, is of the type. It goes on after a missing semicolon.
func (t Type) names(value string) bool {
	value = strings.TrimLeft(value, " \t")
	if end := strings.IndexAny(value, "; \t"); end >= 0 {
		value = value[:end]
	}
	return strings.EqualFold(value, string(t)) ||
		t == JSON && len(value) > len(jsonSuffix) && strings.EqualFold(value[len(value)-len(jsonSuffix):], jsonSuffix)
}

// cutListed returns the list up to its first comma outside a quoted string, and the rest after it.
func cutListed(list string) (first, rest string) {
	quoted := false
	for i := 0; i < len(list); i++ {
		switch c := list[i]; {
		case c == '"':
			quoted = !quoted
		case c == '\\' && quoted:
			i++
		case c == ',' && !quoted:
			return list[:i], list[i+1:]
		}
	}
	return list, ""
}
