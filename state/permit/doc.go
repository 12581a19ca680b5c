// Package permit shares the weight store's load budget between all engines.
package permit
