package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"shallotring.dev/bench/capacity"
	"shallotring.dev/bench/load"
)

// measurements are the commands that measure real processes; without one of them bench runs the decision benchmark.
type measurements struct {
	Overhead overheadCommand `cmd:"" help:"Measure the proxy overhead with separate processes on loopback."`
	Capacity struct {
		Entry    entryCommand    `cmd:"" help:"Memory and processor time of an idle entry process against adapters and endpoints."`
		Fleet    fleetCommand    `cmd:"" help:"Calls, bytes and times of the configuration path against processes."`
		Agent    agentCommand    `cmd:"" help:"Memory and processor time of an agent process against load reports."`
		Commands commandsCommand `cmd:"" help:"Calls and bytes of the operator's commands."`
	} `cmd:"" help:"Measure the slopes of docs/CAPACITY.md."`
}

type overheadCommand struct {
	load.Overhead `embed:""`
}

// Run measures and prints.
func (c *overheadCommand) Run(ctx context.Context) (err error) { return c.Overhead.Run(ctx, os.Stdout) }

type entryCommand struct {
	capacity.Entry `embed:""`
}

// Run measures and prints.
func (c *entryCommand) Run(ctx context.Context) (err error) { return c.Entry.Run(ctx, os.Stdout) }

type fleetCommand struct {
	capacity.Fleet `embed:""`
}

// Run measures and prints.
func (c *fleetCommand) Run(ctx context.Context) (err error) { return c.Fleet.Run(ctx, os.Stdout) }

type commandsCommand struct {
	capacity.Commands `embed:""`
}

// Run measures and prints.
func (c *commandsCommand) Run(ctx context.Context) (err error) { return c.Commands.Run(ctx, os.Stdout) }

type agentCommand struct {
	load.Agent `embed:""`
}

// Run measures and prints.
func (c *agentCommand) Run(ctx context.Context) (err error) { return c.Agent.Run(ctx, os.Stdout) }

// measure runs the named measurement, if the first argument names one.
func measure(args []string) (ran bool) {
	if len(args) == 0 || (args[0] != "overhead" && args[0] != "capacity") {
		return false
	}
	// A closed pipe or an interrupt must not end the program before it has stopped the processes that it started.
	signal.Ignore(syscall.SIGPIPE)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	p := kong.Must(&measurements{}, kong.Name("bench"), kong.Description("Measures separate processes on loopback."),
		kong.BindTo(ctx, (*context.Context)(nil)))
	c, err := p.Parse(args)
	p.FatalIfErrorf(err)
	p.FatalIfErrorf(c.Run())
	return true
}
