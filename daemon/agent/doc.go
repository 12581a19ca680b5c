// Package agent runs the process beside an endpoint. It is the only process that sends commands and requests to the endpoint:
// it claims the endpoint, admits tries of entries, loads adapters and streams the responses.
package agent
