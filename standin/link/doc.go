// Package link stands in for the network between two processes: a TCP proxy on loopback that injects faults on request.
package link
