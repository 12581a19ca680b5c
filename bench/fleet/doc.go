// Package fleet is the fake deployment of the benchmark: engines, a weight store and entries on a simulated clock.
package fleet
