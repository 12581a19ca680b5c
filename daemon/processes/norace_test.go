//go:build !race

package processes

const raceFlag = "-race=false"
