// Package timeline writes the events of one process as JSON lines; the command line merges the lines of all processes.
package timeline
