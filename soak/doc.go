// Package soak runs the step functions of agents, entries and ledger (state machines without I/O) together on a simulated
// clock, with traffic and faults that follow from a seed, and checks from the outside that the guarantees hold.
package soak
