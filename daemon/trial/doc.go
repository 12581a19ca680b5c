// Package trial runs the platform form of the programs in one process on loopback, against the platform's stand-in.
package trial
