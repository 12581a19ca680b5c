//go:build review

// Command harness2 runs the cases of the second review: it starts the project's programs as separate processes with stand-ins, sends requests,
// and writes what was sent, answered and run to a record.
package main

import (
	"flag"
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases are the scripts by name.
var cases = map[string]func(f *fleet, trouble bool) (broken int, err error){}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "server" {
		serve(os.Args[2:])
		return
	}
	name := flag.String("case", "", "name of the case")
	programs := flag.String("programs", "target", "directory of the built programs")
	record := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	run := cases[*name]
	if run == nil {
		fmt.Fprintln(os.Stderr, "unknown case:", *name)
		os.Exit(exitFailed)
	}
	os.Exit(runCase(run, *programs, *record, os.Getenv("TROUBLE") != "0"))
}

func runCase(run func(f *fleet, trouble bool) (broken int, err error), programs, record string, trouble bool) (code int) {
	f, err := newFleet(programs, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case cannot run:", err)
		return exitFailed
	}
	defer f.close()
	broken, err := run(f, trouble)
	switch {
	case err != nil:
		f.note("the case cannot run: %v", err)
		fmt.Fprintln(os.Stderr, "the case cannot run:", err)
		return exitFailed
	case broken > 0:
		f.note("the rule was broken %d times", broken)
		return exitBroken
	}
	f.note("the rule held")
	return exitHeld
}
