// Package trial runs the programs of package direct in one process on loopback addresses, with a stand-in for the users' platform.
package trial
