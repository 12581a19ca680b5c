// Package backend simulates engines and plain services and reports each run and eviction to an observer.
package backend
