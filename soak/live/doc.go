// Package live runs the programs of the platform form as separate processes against stand-ins, injects faults from outside them
// and checks the guarantees by what callers and endpoints see.
package live
