// Command soak runs shallotring under seeded random faults and checks the guarantees: the step functions on a simulated clock, or
// the programs as separate processes.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/rotisserie/eris"

	"shallotring.dev/soak"
	"shallotring.dev/soak/fleet"
	"shallotring.dev/soak/live"
)

type commandLine struct {
	Simulated simulatedCommand `cmd:"" default:"withargs" help:"Run the step functions on a simulated clock (the default command)."`
	Processes processesCommand `cmd:"" help:"Run the programs of the platform form as separate processes."`
}

// errViolation ends a run whose violations have been printed.
var errViolation = eris.New("a guarantee was violated")

type simulatedCommand struct {
	Seed      uint64        `help:"Seed of the first schedule." default:"1"`
	Duration  time.Duration `help:"Simulated time of each schedule." default:"10m"`
	Schedules int           `help:"Number of schedules, with consecutive seeds." default:"1"`
	LeaveOut  []fleet.Kind  `help:"Kinds of faults that do not occur."`
}

// Run runs schedules until the first violation.
func (s *simulatedCommand) Run() (err error) {
	t, err := soak.Run(soak.Options{Seed: s.Seed, Schedules: s.Schedules, Duration: s.Duration, LeaveOut: s.LeaveOut}, os.Stdout)
	if err == nil && t.Violations > 0 {
		err = errViolation
	}
	return err
}

type processesCommand struct {
	Seed     uint64        `help:"Seed of the faults; 0 takes a new one." default:"0"`
	Duration time.Duration `help:"Time with faults." default:"1m"`
	Engines  int           `help:"Number of engines, with an agent each." default:"6"`
	Entries  int           `help:"Number of entries." default:"3"`
	Callers  int           `help:"Number of callers for each entry." default:"16"`
	Overlap  int           `help:"Largest number of faults at the same time." default:"8"`
	Programs string        `help:"Directory of the built programs." default:"bin"`
	Dir      string        `help:"Directory of settings and logs; a new one by default."`
	Events   bool          `help:"Print each fault."`
}

// Run runs one seed.
func (p *processesCommand) Run() (err error) {
	if p.Seed == 0 {
		p.Seed = uint64(time.Now().UnixNano()) % 1_000_000
	}
	if p.Dir == "" {
		if p.Dir, err = os.MkdirTemp("", "soak"); err != nil {
			return eris.Wrap(err, "directory of the logs")
		}
	}
	if err = os.MkdirAll(p.Dir, 0o700); err != nil {
		return eris.Wrap(err, "directory of the logs")
	}
	fmt.Printf("seed %d, logs in %s\n", p.Seed, p.Dir)
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	r, err := live.Run(ctx, live.Options{
		Seed: p.Seed, Duration: p.Duration, Engines: p.Engines, Entries: p.Entries, Callers: p.Callers, Overlap: p.Overlap,
		Programs: p.Programs, Dir: p.Dir, Events: p.Events,
	}, os.Stdout)
	if err == nil && r.Violations > 0 {
		err = errViolation
	}
	return err
}

func main() {
	c := kong.Parse(&commandLine{}, kong.Name("soak"), kong.Description("Runs shallotring under random faults and checks its guarantees."))
	c.FatalIfErrorf(c.Run())
}
