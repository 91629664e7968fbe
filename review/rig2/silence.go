package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// Parameters of the case "silence". The consumers of the route wait 9.6 s for an event, and the workers
// are done long before the last sixth of the grace.
const (
	silentStreams = 6
	silentEvents  = 16
	silentGap     = 100 * time.Millisecond
	peakFor       = 4200 * time.Millisecond
	peakAfter     = 500 * time.Millisecond // after the first request
	stopAfter     = 200 * time.Millisecond // after the peak began
)

// runSilence stops a host as planned while the workers' memory is full: they turn new requests away, and
// preempt the streams that run, which go on afterwards.
func runSilence(d *deployment, trouble bool) (bool, error) {
	d.store.Put("op", "config", config(3, 4000))
	for i, zone := range zones {
		args := []string{"-events", fmt.Sprint(silentEvents), "-gap", silentGap.String(), "-peak", peakFor.String()}
		if trouble {
			args = append(args, "-preempts")
		}
		if _, err := d.startWorker(fmt.Sprintf("i-lm%d", i), "lm", zone, "", args...); err != nil {
			return false, err
		}
	}
	if err := d.startHosts(firstGraceS); err != nil {
		return false, err
	}
	h := d.hosts[0]
	var mu sync.Mutex
	var asking sync.WaitGroup
	var answers []answer
	for i := range silentStreams {
		r := newModelRequest(fmt.Sprintf("%04x", i))
		asking.Go(func() {
			a := ask(h.address(h.ports.front), r)
			d.record.note("%v", a)
			mu.Lock()
			answers = append(answers, a)
			mu.Unlock()
		})
	}
	time.Sleep(peakAfter)
	for _, w := range d.workers {
		_ = w.command.Process.Signal(syscall.SIGUSR1)
	}
	d.record.note("the workers are full for %v; they preempt the streams that run: %v", peakFor, trouble)
	time.Sleep(stopAfter)
	stopped := time.Now()
	d.signal(h, syscall.SIGTERM)
	asking.Wait()
	if err := d.recordWorkers(); err != nil {
		return false, err
	}
	lost := 0
	for _, a := range answers {
		if !a.complete || a.status != 200 || len(a.events) != silentEvents {
			lost++
			d.record.note("LOST: stream %s ended %.1f s after the stop signal, after %d of %d pieces", a.request, a.endedAt.Sub(stopped).Seconds(), len(a.events), silentEvents)
		}
	}
	return lost > 0, nil
}
