package sendlimit

import "log/slog"

// Limit is the rate of requests that an endpoint takes from all hosts together; the zero value means that it has named none.
type Limit struct {
	Named     bool    `json:",omitempty"`
	PerSecond float64 `json:",omitempty"`
}

// Attr returns the log attribute of the limit in requests per second; it is -1 if none is named.
func (l Limit) Attr() slog.Attr {
	if !l.Named {
		return slog.Float64("LimitPerSecond", -1)
	}
	return slog.Float64("LimitPerSecond", l.PerSecond)
}
