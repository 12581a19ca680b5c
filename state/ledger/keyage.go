package ledger

import (
	"encoding/hex"
	"strings"
	"time"

	"shallotring.dev/state/ident"
)

// ClockMargin covers the difference between the clocks of successive owners and of callers.
const ClockMargin = 5 * time.Minute

const (
	uuidBytes      = 16
	uuidTimeBytes  = 6
	uuidTextLength = 36
)

// KeyTime returns the time that a UUID version 7 carries; ok is false for other keys.
func KeyTime(k ident.Key) (at time.Time, ok bool) {
	s := string(k)
	if len(s) != uuidTextLength || s[8] != '-' || s[13] != '-' || s[18] != '-' || s[23] != '-' {
		return time.Time{}, false
	}
	raw, err := hex.DecodeString(strings.ReplaceAll(s, "-", ""))
	if err != nil || len(raw) != uuidBytes || raw[6]>>4 != 7 || raw[8]>>6 != 2 {
		return time.Time{}, false
	}
	var milli int64
	for _, x := range raw[:uuidTimeBytes] {
		milli = milli<<8 | int64(x)
	}
	return time.UnixMilli(milli), true
}

// KeyExpired reports whether a key carries a time older than the retention.
func KeyExpired(k ident.Key, now time.Time, retention time.Duration) bool {
	at, ok := KeyTime(k)
	return ok && now.Sub(at) > retention
}

// keepUntil returns when a record may be dropped. A key that carries its time is refused by then, whichever
// owner's clock decides; a key whose time is not credible counts as one without a time.
func keepUntil(k ident.Key, now time.Time, retention time.Duration) time.Time {
	from := now
	if at, ok := KeyTime(k); ok && at.After(now) && at.Before(now.Add(retention)) {
		from = at
	}
	return from.Add(retention + 2*ClockMargin)
}
