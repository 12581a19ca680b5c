//go:build race

package processes

// raceFlag builds the programs with the race detector if the test has it, so that a race in a program fails the test.
const raceFlag = "-race"
