// Package hostlist reads the platform's list of live and leaving hosts.
package hostlist
