// Package timeline writes the events of one process as JSON log lines and merges the logs of several processes in order of time.
package timeline
