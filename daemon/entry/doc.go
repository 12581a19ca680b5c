// Package entry serves the callers' API and sends each request's tries to the agents of the endpoints.
package entry
