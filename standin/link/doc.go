// Package link stands in for the network between two processes: a proxy on loopback that misbehaves on request.
package link
