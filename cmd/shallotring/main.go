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
		kong.DynamicCommand("local", "Run the whole system in one process, with embedded stand-ins for engines and the platform.", "", &localCommand{}),
		kong.DynamicCommand("platform", "Run the platform form of the programs (entries call endpoints directly) in one process, with stand-ins.", "", &platformCommand{}))
}
