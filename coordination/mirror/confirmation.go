package mirror

import "time"

// WatchBlindness is how long watches may miss changes before the store, which is about to discard its history, ends them.
const WatchBlindness = time.Second

// WithConfirmation sets a function that is called before each call to the store. The function that it returns is called once the response has been
// applied, with a duration: the copy had all changes that were made up to that duration before the call began. It reports whether this is recent; if
// not, because the process did not run meanwhile, the prefix is read in full at once.
func WithConfirmation(begin func() (confirm func(earlier time.Duration) (recent bool))) Option {
	return func(m *Mirror) { m.begin = begin }
}

// noConfirmation is used if nobody wants to know up to when the copy is confirmed.
func noConfirmation() (confirm func(time.Duration) bool) {
	return func(time.Duration) bool { return true }
}

// watchDoubt returns the time before a watch began from which changes may be missing although it responded after a duration. A watch that lasted for
// longer than the store leaves watches blind did not begin in such a time, since it would have been ended.
func watchDoubt(lasted time.Duration) time.Duration {
	if lasted >= WatchBlindness {
		return 0
	}
	return WatchBlindness
}
