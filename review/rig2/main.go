// Command rig2 runs the scripts of the second independent review: it starts the
// project's own programs as separate processes against stand-ins of the platform, on loopback
// addresses. It exits with 1 if the rule of the case was broken, 0 if it held and 2 if the
// case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseFunc runs a case. hasTrouble is false for a run without the disruption.
type caseFunc func(f *fleet, hasTrouble bool) (broken bool, err error)

var cases = map[string]caseFunc{
	"restart": runRestart,
	"group":   runGroup,
	"naming":  runNaming,
	"resume":  runResume,
	"era":     runEra,
	"bodies":  runBodies,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) == 3 && os.Args[1] == "runner" {
		id, address, _ := strings.Cut(os.Args[2], "=")
		return serveRunner(id, address)
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE FOLDER")
		return exitNotRun
	}
	broken, err := runCase(cases[os.Args[1]], os.Args[2])
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "not run:", err)
		return exitNotRun
	case broken:
		return exitBroken
	default:
		return exitHeld
	}
}

func runCase(c caseFunc, folder string) (broken bool, err error) {
	rec, err := newRecorder(filepath.Join(folder, "record.txt"))
	if err != nil {
		return false, err
	}
	dir := os.Getenv("REVIEW_LOGS")
	if dir == "" {
		if dir, err = os.MkdirTemp("", "review-2-"); err != nil {
			return false, err
		}
		//nolint:gosec // The folder has just been made.
		defer func() { _ = os.RemoveAll(dir) }()
	}
	f, err := newFleet(dir, rec)
	if err != nil {
		return false, err
	}
	defer f.close()
	go f.closeOnSignal()
	hasTrouble := os.Getenv("TROUBLE") != "0"
	if broken, err = c(f, hasTrouble); err != nil {
		return false, err
	}
	if name := f.hasEnded(); name != "" {
		return false, errors.New(name + " has ended by itself")
	}
	if broken {
		rec.say("the rule was broken")
	} else {
		rec.say("the rule held")
	}
	return broken, nil
}

// closeOnSignal ends the processes of the fleet when this one is asked to end.
func (f *fleet) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	<-signals
	f.kill(f.running("")...)
	os.Exit(exitNotRun)
}
