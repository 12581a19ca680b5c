//go:build race

package processes

// raceFlag builds the programs with the race detector if the test is built with it, so that a data race in a program fails the
// test.
const raceFlag = "-race"
