//go:build review

// Command harness3 plays the scripts of this review: a small deployment of the project's programs beside stand-ins of the store, the engines and the callers.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// The results of a case.
const (
	held    = 0
	broken  = 1
	unknown = 2
)

// cases are the scripts by name; each file adds its own. trouble is false if the disruption is left out.
var cases = make(map[string]func(d *deployment, trouble bool) (result int, err error))

func main() {
	if len(os.Args) > 1 && os.Args[1] == "engine" {
		runEngine(os.Args[2:])
		return
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness3 CASE FOLDER-OF-THE-CASE FOLDER-OF-THE-PROGRAMS")
		os.Exit(unknown)
	}
	r, err := openRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(unknown)
	}
	os.Exit(play(r, os.Args[1], os.Args[3]))
}

func play(r *record, name, programs string) (result int) {
	defer r.close()
	trouble := os.Getenv("TROUBLE") != "0"
	d, err := openDeployment(programs, r)
	if err != nil {
		r.say("the case could not run: %s", err)
		return unknown
	}
	result, err = cases[name](d, trouble)
	d.close()
	if err != nil {
		r.say("the case could not run: %s", err)
		return unknown
	}
	r.say("trouble: %t; result: %d (0: the rule held, 1: it was broken)", trouble, result)
	return result
}
