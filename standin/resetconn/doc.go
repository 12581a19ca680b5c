// Package resetconn orders what a client sees of a connection that its server resets: a write gets the reset, then a read the end of the connection.
package resetconn
