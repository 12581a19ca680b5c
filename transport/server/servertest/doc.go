// Package servertest makes the keys that tests of TLS need.
package servertest
