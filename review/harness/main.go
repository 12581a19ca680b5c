//go:build review

package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// cases are the scripts by name. trouble is false for the run without the disruption.
var cases = map[string]func(r *record, trouble bool) (broken bool, err error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER")
		os.Exit(failed)
	}
	r, err := openRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r.write("case %s, trouble %t", os.Args[1], trouble)
	isBroken, err := cases[os.Args[1]](r, trouble)
	switch {
	case err != nil:
		r.write("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(failed)
	case isBroken:
		os.Exit(broken)
	}
	os.Exit(held)
}
