// Package servertest creates the keys and certificates that tests of TLS need.
package servertest
