// Package capacity measures how the memory, processor time and traffic of entries, the configuration path and the operator's commands
// grow with the numbers of adapters, endpoints and processes.
package capacity
