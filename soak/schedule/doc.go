// Package schedule runs functions in order of simulated time, with all random choices from one seed.
package schedule
