// Package soak runs the real daemon as separate processes on one machine and
// injects faults from outside, at random from a seed, while callers use it. It
// checks the router's promises from what callers and endpoints see.
//
// # Usage
//
//	report, err := soak.Run(ctx, soak.Options{Seed: 7, Length: 20 * time.Second, Hosts: 6, Daemon: "bin/quaybarrowd"})
//	for _, v := range append(report.Violations, report.Cold...) { fmt.Println(v) }
//
// Connections to the store and to endpoints pass through loopback proxies, which
// delay, reset, silence and cut them one way; processes are stopped, killed,
// paused and restarted by signals; the store's stand-in misbehaves; endpoints start again
// under their names or crash under a request that comes again and again, data halls are evacuated,
// others write among the endpoints, endpoints name limits, leave or turn requests away by their answers
// alone, or are brittle. Faults
// overlap and are not counted as excuses: what may not happen may not happen
// under any of them. Only processes that the soak started are signalled.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"quaybarrow/platform/standin"
)

// Parameters of a run.
const (
	// warmUp is how long all hosts may take to be ready.
	warmUp = 15 * time.Second
	// quiet at the end of a run is without faults; the system has to be well.
	quiet = 8 * time.Second
	// settled is the part of it that is judged.
	settled = 4 * time.Second
	// servedLeast is the part of requests that has to be served then.
	servedLeast = 0.95
	callers     = 12
)

// Options set up a run.
type Options struct {
	Seed   uint64
	Length time.Duration // with faults
	Hosts  int
	Daemon string // path of the daemon's program
	LogDir string // where hosts' logs are kept, made if it is not there; empty keeps those of a broken run
	// Crashers is how many requests come, each again and again, under which endpoints crash.
	Crashers int
	// Parts is how many parts of prompts there are under which endpoints crash, in requests no two alike.
	Parts int
	// Limits is how many times endpoints name limits of what they take.
	Limits int
	// Notices is how many times endpoints leave, or turn requests away, by their answers alone.
	Notices int
	// Brittle is how many times the endpoints of a service are brittle.
	Brittle int
}

// Result is what a run saw.
type Result struct {
	Requests, Served, Refused, Failed int
	Faults                            int
	Violations                        []string
	// Cold are seconds in which a cold endpoint got more requests than it may.
	Cold []string
	// Arrivals are what endpoints got of the requests whose promises were broken.
	Arrivals []string
	// Logs is the folder with the hosts' logs of a broken run.
	Logs string
}

// Broken reports whether a promise was broken.
func (r Result) Broken() bool { return len(r.Violations)+len(r.Cold) > 0 }

// Run plays one run.
func Run(ctx context.Context, o Options) (Result, error) {
	dir, err := os.MkdirTemp("", "quaybarrow-soak-")
	if err != nil {
		return Result{}, fmt.Errorf("make folder: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	named := o.LogDir != ""
	if o.LogDir, err = logFolder(o); err != nil {
		return Result{}, err
	}
	r, err := play(ctx, o, dir)
	if r.Broken() || err != nil {
		r.Logs = o.LogDir
	} else if !named {
		_ = os.RemoveAll(o.LogDir)
	}
	return r, err
}

// logFolder makes the folder for the hosts' logs.
func logFolder(o Options) (string, error) {
	if o.LogDir == "" {
		dir, err := os.MkdirTemp("", fmt.Sprintf("quaybarrow-soak-logs-%d-", o.Seed))
		if err != nil {
			return "", fmt.Errorf("make folder for logs: %w", err)
		}
		return dir, nil
	}
	if err := os.MkdirAll(o.LogDir, 0o755); err != nil {
		return "", fmt.Errorf("make folder for logs: %w", err)
	}
	return o.LogDir, nil
}

// play plays one run with its settings in a folder.
func play(ctx context.Context, o Options, dir string) (Result, error) {
	w, err := newWorld(o, dir)
	if err != nil {
		return Result{}, err
	}
	defer w.stop()
	if err := w.awaitReady(ctx, warmUp); err != nil {
		return Result{}, err
	}
	calling, stop := context.WithCancel(ctx)
	var work sync.WaitGroup
	for i := range callers {
		work.Go(func() { w.call(calling, rand.New(rand.NewPCG(o.Seed, uint64(i)))) })
	}
	var crashing sync.WaitGroup
	crashing.Go(func() { w.sendCrashers(ctx, o) })
	crashing.Go(func() { w.nameLimits(ctx, o) })
	crashing.Go(func() { w.giveNotices(ctx, o) })
	crashing.Go(func() { w.makeBrittle(ctx, o) })
	faults := w.injectFaults(ctx, o.Length)
	crashing.Wait()
	w.healAll()
	evacuated := w.evacuable()
	w.store.Put(standin.TableOperator, standin.EvacuationKey(evacuated), []byte("{}"))
	sleep(ctx, quiet-settled)
	w.history.startJudging()
	judged := time.Now()
	sleep(ctx, settled)
	stop()
	work.Wait()
	report := w.history.report(w.runs())
	report.Violations = append(report.Violations, w.misplaced(evacuated, judged)...)
	report.Violations = append(report.Violations, w.lateSends()...)
	report.Violations = append(report.Violations, w.overLimits()...)
	report.Violations = append(report.Violations, w.lateAfterLeaving()...)
	report.Violations = append(report.Violations, w.overPauses()...)
	report.Violations = append(report.Violations, w.overRepeats()...)
	report.Violations = append(report.Violations, w.overAttempts()...)
	report.Violations = append(report.Violations, w.overTime()...)
	report.Violations = append(report.Violations, w.overFalls()...)
	for _, p := range w.hosts {
		report.Violations = append(report.Violations, p.ownEnds()...)
	}
	report.Cold = w.overCold()
	report.Faults = faults
	for _, a := range w.arrivals(w.history.broken) {
		report.Arrivals = append(report.Arrivals, a.String())
	}
	return report, nil
}

// sleep waits; false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// logFile opens a host's log.
func logFile(dir, name string) (io.WriteCloser, error) {
	f, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("open log: %w", err)
	}
	return f, nil
}
