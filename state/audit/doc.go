// Package audit examines a configuration before it is written: entries that can never match, limits that contradict each other, and what differs
// from the version in force. What cannot be used at all is found by the decoders that the programs use.
package audit
