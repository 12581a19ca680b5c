// Package guard keeps the callers of a process within the memory and the descriptors of its machine: it counts what the process holds for each
// connection, and closes those that give way to others.
package guard
