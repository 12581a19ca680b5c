// Package claim acquires and renews an agent's exclusive claim on its endpoint. The claim is a key of the key-value service,
// written by compare-and-swap under a lease; the revision of the write is the agent's incarnation and fencing number.
package claim
