// Package routing selects the route of a request. Its table contains the routes, services and limits of one configuration.
package routing
