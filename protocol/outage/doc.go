// Package outage ends calls that wait on a server which was away meanwhile: a server that accepts a call during an outage may never
// respond to it, and another call of the same process shows first that it responds again.
package outage
