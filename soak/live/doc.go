// Package live runs the entry and agent programs in their platform form ("entry platform", "agent platform") as separate processes
// against stand-ins of endpoints and store. It injects faults from outside the processes and checks the guarantees by what
// callers and endpoints observe.
package live
