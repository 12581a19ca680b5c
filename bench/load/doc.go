// Package load measures separate processes on loopback: the cost of a request through an entry against a direct call.
package load
