// Package routing selects the route of a request and holds what a configuration says of services and limits.
package routing
