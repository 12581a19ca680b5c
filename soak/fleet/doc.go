// Package fleet builds agents and entries from the step functions (state machines without I/O) and runs them on a simulated
// clock. The network, the key-value service, the endpoints, the callers and the operators are fakes.
package fleet
