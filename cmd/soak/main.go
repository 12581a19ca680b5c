// Command soak runs shallotring under seeded random faults and checks its guarantees. It runs either the step functions (the state
// machines without I/O) on a simulated clock, or the programs as separate processes.
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
	Simulated simulatedCommand `cmd:"" default:"withargs" help:"Run the state machines on a simulated clock (the default command)."`
	Processes processesCommand `cmd:"" help:"Run the programs of the platform form as separate processes."`
}

// errViolation makes the program fail after a run that has printed violations.
var errViolation = eris.New("a guarantee was violated")

type simulatedCommand struct {
	Seed      uint64            `help:"Seed of the first schedule." default:"1"`
	Duration  time.Duration     `help:"Simulated time of each schedule." default:"10m"`
	Schedules int               `help:"Number of schedules, with consecutive seeds." default:"1"`
	LeaveOut  []fleet.FaultKind `help:"Kinds of faults to leave out."`
}

// Run runs the schedules, up to the first with a violation.
func (s *simulatedCommand) Run() (err error) {
	t, err := soak.Run(soak.Options{Seed: s.Seed, Schedules: s.Schedules, Duration: s.Duration, LeaveOut: s.LeaveOut}, os.Stdout)
	if err == nil && t.Violations > 0 {
		err = errViolation
	}
	return err
}

type processesCommand struct {
	Seed     uint64        `help:"Seed of the faults; 0 uses a new seed." default:"0"`
	Duration time.Duration `help:"Time during which faults are injected." default:"1m"`
	Engines  int           `help:"Number of engines, each with an agent." default:"6"`
	Entries  int           `help:"Number of entries." default:"3"`
	Callers  int           `help:"Number of callers per entry." default:"16"`
	Overlap  int           `help:"Maximum number of concurrent faults." default:"8"`
	Programs string        `help:"Directory with the built programs." default:"bin"`
	Dir      string        `help:"Directory for settings and logs; a new temporary directory by default."`
	Events   bool          `help:"Print each injected fault."`
}

// Run runs the programs with the faults of one seed.
func (p *processesCommand) Run() (err error) {
	if p.Seed == 0 {
		p.Seed = uint64(time.Now().UnixNano()) % 1_000_000
	}
	if p.Dir == "" {
		if p.Dir, err = os.MkdirTemp("", "soak"); err != nil {
			return eris.Wrap(err, "create the directory for settings and logs")
		}
	}
	if err = os.MkdirAll(p.Dir, 0o700); err != nil {
		return eris.Wrap(err, "create the directory for settings and logs")
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
