// Package server runs HTTP listeners with TLS and with limits on headers, bodies, time and connections.
package server
