package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// Times of the case "grace".
const (
	firstGraceS  = 8
	raisedGraceS = 24
	// graceRun is how long the requests run. They are sent a second before the stop signal, so the
	// workers are done long before the last sixth of the raised grace begins.
	graceRun = 12 * time.Second
	// onceTimeoutMs is the timeout of the route of single bodies.
	onceTimeoutMs = 20000
)

// runGrace raises the grace of a running host by a change of its settings, and then stops it while it
// serves requests that end well within the raised grace.
func runGrace(d *deployment, trouble bool) (bool, error) {
	d.store.Put("op", "config", config(3, onceTimeoutMs))
	for i, zone := range zones {
		if _, err := d.startWorker(fmt.Sprintf("i-lm%d", i), "lm", zone, "", "-events", "24", "-gap", "500ms"); err != nil {
			return false, err
		}
		if _, err := d.startWorker(fmt.Sprintf("i-app%d", i), "app", zone, "", "-run", graceRun.String()); err != nil {
			return false, err
		}
	}
	graceS := firstGraceS
	if !trouble {
		graceS = raisedGraceS
	}
	if err := d.startHosts(graceS); err != nil {
		return false, err
	}
	h := d.hosts[0]
	if trouble {
		if err := d.writeSettings(h, raisedGraceS, true); err != nil {
			return false, err
		}
		d.record.note("settings of %s: grace_s is now %d instead of %d", h.name, raisedGraceS, firstGraceS)
		d.signal(h, syscall.SIGHUP)
	}
	time.Sleep(3 * time.Second)

	var mu sync.Mutex
	var answers []answer
	var asking sync.WaitGroup
	for i := range 8 {
		r := newModelRequest(fmt.Sprintf("s%d", i))
		if i >= 4 {
			r = clientRequest{id: fmt.Sprintf("o%d", i), method: "POST", path: "/once/x", budgetMs: onceTimeoutMs, body: "an order"}
		}
		d.record.note("request %s: %s %s to %s", r.id, r.method, r.path, h.name)
		asking.Go(func() {
			a := ask(h.address(h.ports.front), r)
			d.record.note("%v", a)
			mu.Lock()
			answers = append(answers, a)
			mu.Unlock()
		})
	}
	time.Sleep(time.Second)
	stopped := time.Now()
	d.signal(h, syscall.SIGTERM)
	killed := time.AfterFunc(time.Duration(raisedGraceS)*time.Second, func() { d.signal(h, syscall.SIGKILL) })
	defer killed.Stop()
	asking.Wait()
	select {
	case <-h.exited:
		d.record.note("host %s ended %.1f s after the stop signal", h.name, time.Since(stopped).Seconds())
	case <-time.After(time.Until(stopped.Add(time.Duration(raisedGraceS+1) * time.Second))):
	}
	if err := d.recordWorkers(); err != nil {
		return false, err
	}
	lost := 0
	for _, a := range answers {
		if !a.complete || a.status != 200 {
			lost++
			d.record.note("LOST: request %s has no complete answer %.1f s after the stop signal; its worker ran it and needed %.0f s", a.request, a.endedAt.Sub(stopped).Seconds(), graceRun.Seconds())
		}
	}
	return lost > 0, nil
}

// recordWorkers writes to the record what the workers ran.
func (d *deployment) recordWorkers() error {
	for _, w := range d.workers {
		events, err := readWorkerLog(w.logFile)
		if err != nil {
			return err
		}
		for _, e := range events {
			if e.What != "event" {
				d.record.note("worker %s at %d ms: request %s %s, framed %v, event %d", e.Worker, e.At-d.record.began.UnixMilli(), e.Request, e.What, e.Framed, e.Event)
			}
		}
	}
	return nil
}
