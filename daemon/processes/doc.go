// Package processes tests deployments of separate entry, agent and stand-in processes on loopback under the faults of the design's
// fault model.
package processes
