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

// Run serves the platform form with stand-ins until the first signal.
func (*platformCommand) Run() (err error) {
	defer func() { err = eris.Wrap(err, "platform") }()
	log := slog.New(slog.NewJSONHandler(os.Stderr, nil))
	ctx, cancel := program.Context(log, func() { os.Exit(1) })
	defer cancel()
	d, err := trial.Start(ctx, log)
	if err != nil {
		return err
	}
	fmt.Printf(`The platform form serves on http://%[1]s
Try:
  curl -N http://%[1]s/g/1 -H 'Host: %[2]s' -H 'Shallotring-Attempt-Id: a1' -H 'Shallotring-Model: %[3]s/a1' -H 'Shallotring-Token-Usage: 100,20' -d 'prompt'
  curl http://%[1]s/o/1 -H 'Host: %[2]s' -H 'Shallotring-Attempt-Id: a2' -d 'order'
  curl -i http://%[4]s/ready
`, d.Front, trial.Host, trial.Model, d.Ready)
	return d.Wait()
}
