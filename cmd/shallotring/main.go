// Command shallotring is the operator's command line.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"shallotring.dev/daemon/operator"
)

func main() { os.Exit(run()) }

func run() (code int) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	// `local` is added here as a kong.DynamicCommand.
	return operator.Run(ctx, os.Args[1:], operator.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr})
}
