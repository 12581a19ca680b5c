// Package capacity measures how the memory, processor time and traffic of entries, of the distribution of the configuration and of
// the operator's commands grow with the numbers of adapters, endpoints and processes.
package capacity
