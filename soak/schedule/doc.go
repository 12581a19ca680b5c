// Package schedule provides a simulated clock that runs functions in order of time and draws all random choices from one
// seed.
package schedule
