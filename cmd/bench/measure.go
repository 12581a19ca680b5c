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

// measurements are the commands that measure separate processes; without one of them bench runs the benchmark of the decisions.
type measurements struct {
	Overhead overheadCommand `cmd:"" help:"Measure the overhead of a request through an entry, with separate processes on loopback."`
	Capacity struct {
		Entry    entryCommand    `cmd:"" help:"Measure the memory and CPU time of an idle entry process by numbers of adapters and endpoints."`
		Fleet    fleetCommand    `cmd:"" help:"Measure the calls, bytes and delays of configuration changes by number of processes."`
		Agent    agentCommand    `cmd:"" help:"Measure the memory and CPU time of an agent process by rate of load reports."`
		Commands commandsCommand `cmd:"" help:"Measure the calls and bytes of the operator's commands."`
	} `cmd:"" help:"Measure the costs per adapter, endpoint and process for docs/CAPACITY.md."`
}

type overheadCommand struct {
	load.Overhead `embed:""`
}

// Run runs the measurement and prints its results.
func (c *overheadCommand) Run(ctx context.Context) (err error) { return c.Overhead.Run(ctx, os.Stdout) }

type entryCommand struct {
	capacity.Entry `embed:""`
}

// Run runs the measurement and prints its results.
func (c *entryCommand) Run(ctx context.Context) (err error) { return c.Entry.Run(ctx, os.Stdout) }

type fleetCommand struct {
	capacity.Fleet `embed:""`
}

// Run runs the measurement and prints its results.
func (c *fleetCommand) Run(ctx context.Context) (err error) { return c.Fleet.Run(ctx, os.Stdout) }

type commandsCommand struct {
	capacity.Commands `embed:""`
}

// Run runs the measurement and prints its results.
func (c *commandsCommand) Run(ctx context.Context) (err error) { return c.Commands.Run(ctx, os.Stdout) }

type agentCommand struct {
	load.Agent `embed:""`
}

// Run runs the measurement and prints its results.
func (c *agentCommand) Run(ctx context.Context) (err error) { return c.Agent.Run(ctx, os.Stdout) }

// measure runs the measurement that the first argument names and returns whether it names one.
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
