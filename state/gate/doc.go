// Package gate is the control loop of an agent as a step function: admission, adapter slots, loads, tries, drain and tombstones.
//
// Every command and every request for an endpoint passes through one gate, so the guarantees of the agent hold however
// stale the view of an entry is. A gate belongs to one goroutine, does no I/O and reads no clock.
package gate
