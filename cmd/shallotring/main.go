// Command shallotring is the operator's command line.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"shallotring.dev/daemon/operator"
)

func main() { os.Exit(run()) }

func run() (code int) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return operator.Run(ctx, os.Args[1:], operator.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr},
		kong.DynamicCommand("local", "Run the whole system in one process with embedded stand-ins.", "", &localCommand{}),
		kong.DynamicCommand("platform", "Run the form for the users' platform in one process with stand-ins.", "", &platformCommand{}))
}
