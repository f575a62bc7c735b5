// Command rig plays the cases of the review that are scripts: it starts the programs of the
// deploy file as separate processes on loopback addresses, with stand-ins of the platform and
// of callers, brings about a disruption and checks one rule.
//
// It exits with 1 if the rule was broken, with 0 if it held and with 2 if the case could not
// run. With TROUBLE=0 in its environment it leaves out the disruption.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// errBroken reports that the rule of a case was broken.
var errBroken = errors.New("the rule was broken")

// scenarios are the cases by name. Each returns errBroken if its rule was broken.
var scenarios = map[string]func(f *fleet, hasTrouble bool) error{
	"manifest": spoiltManifest,
	"seeds":    staleSeeds,
	"stop":     stoppedEntry,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 2 || scenarios[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig SCENARIO FOLDER")
		return exitFailed
	}
	//nolint:gosec // The folder is an argument of the script.
	record, err := os.Create(filepath.Join(args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer func() { _ = record.Close() }()
	f, err := newFleet(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer f.close()
	err = scenarios[args[0]](f, os.Getenv("TROUBLE") != "0")
	f.callers.report(f.log)
	switch {
	case err == nil:
		f.log.printf("result: the rule held")
		return exitHeld
	case errors.Is(err, errBroken):
		f.log.printf("result: %v", err)
		return exitBroken
	default:
		f.log.printf("result: the case could not run: %v", err)
		return exitFailed
	}
}
