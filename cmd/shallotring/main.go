// Command shallotring is the operator's command line.
package main

import "github.com/alecthomas/kong"

type commandLine struct {
	Local localCommand `cmd:"" help:"Run the whole system in one process with embedded stand-ins."`
}

func main() {
	c := kong.Parse(&commandLine{}, kong.Name("shallotring"), kong.Description("Operates a shallotring deployment."))
	c.FatalIfErrorf(c.Run())
}
