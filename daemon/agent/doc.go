// Package agent runs the process beside an endpoint: the only one that sends commands and requests to it.
package agent
