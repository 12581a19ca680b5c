// Package direct wires the programs that run on the users' platform: an entry that sends requests straight to the endpoints, and
// an agent that only orders its engine.
package direct
