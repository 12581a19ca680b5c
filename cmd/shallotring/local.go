package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"shallotring.dev/daemon/local"
	"shallotring.dev/daemon/program"
)

// readyTimeout limits the wait for the local deployment to become ready.
const readyTimeout = 30 * time.Second

type localCommand struct {
	Address      string `default:"127.0.0.1:8080" help:"IP:port of the API for callers; must be on loopback."`
	AdminAddress string `default:"127.0.0.1:8081" help:"IP:port of the admin port; must be on loopback."`
	Quiet        bool   `help:"Write only errors to the log on standard error."`
}

// Run serves the whole system with embedded stand-ins until the first signal.
func (c *localCommand) Run() (err error) {
	defer func() { err = eris.Wrap(err, "run the local deployment") }()
	level := slog.LevelInfo
	if c.Quiet {
		level = slog.LevelError
	}
	ctx, cancel := program.Context(slog.New(slog.NewJSONHandler(os.Stderr, nil)), func() { os.Exit(1) })
	defer cancel()
	d, err := local.New(ctx, local.WithAddresses(c.Address, c.AdminAddress), local.WithLog(os.Stderr, level))
	if err != nil {
		return err
	}
	go printReady(ctx, d)
	return d.Run(ctx)
}

// printReady prints the addresses and example calls once the deployment is ready.
func printReady(ctx context.Context, d *local.Deployment) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := d.WaitReady(ctx); err != nil {
		return
	}
	fmt.Printf(`shallotring is ready: API on http://%[1]s, admin on http://%[2]s, key-value service on %[3]s
Try:
  curl http://%[1]s/v1/models
  curl http://%[1]s/v1/completions -d '{"model":"adapter-01","prompt":"Summarise the borehole log."}'
  curl -N http://%[1]s/v1/chat/completions -d '{"model":"adapter-02@v1","stream":true,"messages":[{"role":"user","content":"Hello"}]}'
  curl http://%[1]s/services/custody/orders -H 'Idempotency-Key: order-1' -d '{"Box":"B-17"}'
  curl http://%[2]s/metrics
`, d.Address(), d.AdminAddress(), d.Platform().KeyValueURL())
}
