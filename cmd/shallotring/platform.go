package main

import (
	"fmt"
	"log/slog"
	"os"

	"github.com/rotisserie/eris"

	"shallotring.dev/daemon/program"
	"shallotring.dev/daemon/trial"
)

type platformCommand struct{}

// Run runs the platform form of the programs, in which entries call endpoints directly, together with stand-ins. It returns after
// the first signal.
func (*platformCommand) Run() (err error) {
	defer func() { err = eris.Wrap(err, "run the platform form") }()
	log := slog.New(slog.NewJSONHandler(os.Stderr, nil))
	ctx, cancel := program.Context(log, func() { os.Exit(1) })
	defer cancel()
	d, err := trial.Start(ctx, log, trial.Small)
	if err != nil {
		return err
	}
	fmt.Printf(`The platform form serves on http://%[1]s
Try:
  %[2]s
  %[3]s
  curl -i http://%[4]s/ready
`, d.Front, d.ModelRequest("a1").Command(d.Front), d.ServiceRequest("a2").Command(d.Front), d.Ready)
	return d.Wait()
}
