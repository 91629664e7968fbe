// Command rig runs the scripted cases of a review: a few hosts of the project in processes of their
// own, with stand-ins for the platform's store, the workers and the clients. It is run from the root
// of the repository, after the build of the deploy file.
//
// # Usage
//
//	rig CASE RECORD          runs a case and writes its record
//	rig worker [flags]       is a worker; cases start it
//
// Unless TROUBLE=0, a case brings about its disruption. The exit code is 1 if the rule was broken, 0
// if it held, and 2 if the case couldn't run.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitUnrun  = 2
)

// cases by name. A case reports whether the rule was broken.
var cases = map[string]func(*deployment, bool) (bool, error){
	"breakoff": runBreakOff,
	"frozen":   runFrozen,
	"grace":    runGrace,
	"memory":   runMemory,
	"noop":     runNoop,
	"silence":  runSilence,
}

// longestRun bounds a case.
const longestRun = 110 * time.Second

func main() {
	if len(os.Args) > 1 && os.Args[1] == "worker" {
		if err := runWorker(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, "worker:", err)
			os.Exit(exitUnrun)
		}
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		os.Exit(exitUnrun)
	}
	os.Exit(runCase(cases[os.Args[1]], os.Args[2]))
}

func runCase(run func(*deployment, bool) (bool, error), file string) int {
	record, err := newRecorder(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnrun
	}
	d, err := newDeployment(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnrun
	}
	defer d.stop()
	trouble := os.Getenv("TROUBLE") != "0"
	record.note("the disruption is brought about: %v", trouble)
	broken, err := runBounded(d, run, trouble)
	switch {
	case err != nil:
		record.note("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitUnrun
	case broken:
		record.note("the rule was broken")
		return exitBroken
	default:
		record.note("the rule held")
		return exitHeld
	}
}

// runBounded runs a case until it ends, its time is over or a signal asks it to stop.
func runBounded(d *deployment, run func(*deployment, bool) (bool, error), trouble bool) (bool, error) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, longestRun)
	defer cancel()
	type result struct {
		broken bool
		err    error
	}
	ended := make(chan result, 1)
	go func() {
		broken, err := run(d, trouble)
		ended <- result{broken, err}
	}()
	select {
	case r := <-ended:
		return r.broken, r.err
	case <-ctx.Done():
		return false, errors.New("the case was ended before its time")
	}
}
