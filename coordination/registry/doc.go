// Package registry names the keys of the key-value service and keeps the presence records of live processes.
package registry
