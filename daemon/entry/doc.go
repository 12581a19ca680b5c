// Package entry serves the callers' API. It runs each request as one or more tries, each sent to the agent of an endpoint.
package entry
