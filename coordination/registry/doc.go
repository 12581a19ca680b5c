// Package registry defines the keys of the key-value service, announces a process there and lists the live processes and claims.
package registry
