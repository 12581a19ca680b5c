// Command soak runs seeded schedules of the step functions with faults and checks the guarantees.
package main

import (
	"os"
	"time"

	"github.com/alecthomas/kong"

	"shallotring.dev/soak"
	"shallotring.dev/soak/fleet"
)

func main() {
	var flags struct {
		Seed      uint64        `help:"Seed of the first schedule." default:"1"`
		Duration  time.Duration `help:"Simulated time of each schedule." default:"10m"`
		Schedules int           `help:"Number of schedules, with consecutive seeds." default:"1"`
		LeaveOut  []fleet.Kind  `help:"Kinds of faults that do not occur."`
	}
	c := kong.Parse(&flags, kong.Name("soak"), kong.Description("Runs the step functions under faults on a simulated clock."))
	t, err := soak.Run(soak.Options{
		Seed: flags.Seed, Schedules: flags.Schedules, Duration: flags.Duration, LeaveOut: flags.LeaveOut,
	}, os.Stdout)
	c.FatalIfErrorf(err)
	if t.Violations > 0 {
		os.Exit(1)
	}
}
