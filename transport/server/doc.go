// Package server runs HTTP listeners with limits on headers, bodies, time and connections.
package server
