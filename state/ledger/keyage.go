package ledger

import (
	"encoding/hex"
	"strings"
	"time"

	"shallotring.dev/state/ident"
)

// ClockMargin is the largest expected difference between the clocks of successive owners and of callers.
const ClockMargin = 5 * time.Minute

const (
	uuidBytes      = 16
	uuidTimeBytes  = 6
	uuidTextLength = 36
)

// KeyTime returns the time in a key that is a UUID version 7; ok is false for other keys.
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

// KeyExpired reports whether the time in a key is older than the retention. Keys without a time never expire.
func KeyExpired(k ident.Key, now time.Time, retention time.Duration) bool {
	at, ok := KeyTime(k)
	return ok && now.Sub(at) > retention
}

// retainUntil returns the time after which a record may be dropped. A key that contains its time is refused as expired by
// then, whichever owner's clock is used. A time in the past, or further in the future than the retention, is ignored, and
// the retention starts now.
func retainUntil(k ident.Key, now time.Time, retention time.Duration) time.Time {
	retentionStart := now
	if at, ok := KeyTime(k); ok && at.After(now) && at.Before(now.Add(retention)) {
		retentionStart = at
	}
	return retentionStart.Add(retention + 2*ClockMargin)
}
