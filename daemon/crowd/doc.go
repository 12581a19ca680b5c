// Package crowd contains tests of entries under crowds of callers that hold memory and connections: they start the programs as separate
// processes with small limits, and check that the process lives, what it holds, and that an ordinary request is answered.
package crowd
