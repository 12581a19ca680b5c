// Package wait pauses goroutines on a clock that is passed in.
package wait
