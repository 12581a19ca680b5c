// Package processes tests a deployment of separate processes on loopback under the failures of the design's fault model.
package processes
