// Package holding decides which callers may hold how much of the memory and the connections of a process, and which of them give way to others.
package holding
