// Package gate implements the control loop of an agent as a step function: each event from outside (a try, the end of a load,
// a survey of the engine) returns the commands to carry out. A gate decides on admission, adapter slots, loads, tries and drain.
//
// A try is one run of a request at one endpoint. It is tombstoned when it has not run and is refused for ever, so that a
// late copy of it cannot run. Every command and every request for an endpoint passes through one gate, so the guarantees of
// the agent hold however stale the state is by which an entry chose the endpoint. A gate is not safe for concurrent use, does
// no I/O and reads no clock.
//
// An agent works under a claim to its endpoint, which it can lose to a successor. The incarnation identifies the claim and is
// the fencing number of the agent's orders: an engine that checks it rejects orders with an older one. A survey reads the
// adapters and the running requests of the engine.
//
// The gate's view of the engine is what the gate has recorded about the engine's slots and adapters. The first survey under a
// claim builds the view, loads and unloads change it, and later surveys correct it.
package gate
