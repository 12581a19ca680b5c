// Package sendpool hands out the requests that endpoints with a limit take from all entries together, one by one.
package sendpool
