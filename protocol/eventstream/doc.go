// Package eventstream finds the ends of events in a text/event-stream body.
package eventstream
