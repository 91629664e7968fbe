package main

import (
	"fmt"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Parameters of the case "frozen". The freeze is within the sheet's 4 s and the crash within its 2 s,
// and one of four workers crashes. Half of the workers send one stream in twenty without a length.
const (
	frozenStreams  = 160
	frozenEvents   = 60
	frozenGap      = 100 * time.Millisecond
	unframedEvery  = 20
	frozenWorkers  = 4
	freezeFor      = 2700 * time.Millisecond
	crashFor       = 2 * time.Second
	crashAfter     = 300 * time.Millisecond // after the freeze began
	freezeAfter    = 2 * time.Second        // after the first request
	requestSpacing = 4 * time.Millisecond
	entryLapse     = 3600 * time.Millisecond // three heartbeats, after which the entry of a crashed worker goes
)

// runFrozen freezes a host while a worker crashes and starts again.
func runFrozen(d *deployment, trouble bool) (bool, error) {
	d.store.Put("op", "config", config(3, 4000))
	for i := range frozenWorkers {
		args := []string{"-events", fmt.Sprint(frozenEvents), "-gap", frozenGap.String()}
		if i%2 == 0 {
			args = append(args, "-unframed", fmt.Sprint(unframedEvery))
		}
		if _, err := d.startWorker(fmt.Sprintf("i-lm%d", i), "lm", zones[i%len(zones)], "", args...); err != nil {
			return false, err
		}
	}
	if err := d.startHosts(firstGraceS); err != nil {
		return false, err
	}
	h := d.hosts[0]
	var mu sync.Mutex
	answers := map[string]answer{}
	var asking sync.WaitGroup
	began := time.Now()
	for i := range frozenStreams {
		r := newModelRequest(fmt.Sprintf("%04x", i))
		asking.Go(func() {
			time.Sleep(time.Duration(i) * requestSpacing)
			a := ask(h.address(h.ports.front), r)
			mu.Lock()
			answers[r.id] = a
			mu.Unlock()
		})
	}
	d.record.note("%d streams are asked for at %s", frozenStreams, h.name)
	time.Sleep(time.Until(began.Add(freezeAfter)))
	if trouble {
		if err := d.freezeAndCrash(h); err != nil {
			return false, err
		}
	}
	asking.Wait()
	if err := d.recordWorkers(); err != nil {
		return false, err
	}
	return d.judgeStreams(answers, frozenStreams, frozenEvents), nil
}

// freezeAndCrash freezes a host. While it stands still, the worker with the most streams without a
// length crashes, and starts again under a new id at its address.
func (d *deployment) freezeAndCrash(h *host) error {
	victim, most := d.workers[0], -1
	for _, w := range d.workers {
		events, err := readWorkerLog(w.logFile)
		if err != nil {
			return err
		}
		unframed := 0
		for _, e := range events {
			if e.What == "runs" && !e.Framed {
				unframed++
			}
		}
		if unframed > most {
			victim, most = w, unframed
		}
	}
	d.signal(h, syscall.SIGSTOP)
	frozenAt := time.Now()
	time.Sleep(crashAfter)
	d.kill(victim)
	time.AfterFunc(entryLapse, func() { d.store.Delete("servers", victim.id) })
	time.Sleep(crashFor)
	again := &workerProcess{id: victim.id + "-again", service: victim.service, zone: victim.zone, address: victim.address, logFile: filepath.Join(d.dir, victim.id+"-again.log"), args: victim.args}
	if err := again.start(); err != nil {
		return err
	}
	d.workers = append(d.workers, again)
	d.list(again, "ready")
	d.record.note("worker %s starts at %s, in place of %s", again.id, again.address, victim.id)
	time.Sleep(time.Until(frozenAt.Add(freezeFor)))
	d.signal(h, syscall.SIGCONT)
	return nil
}

// judgeStreams reports whether a stream ended as complete before its last piece, or has pieces missing
// or twice.
func (d *deployment) judgeStreams(answers map[string]answer, streams, pieces int) bool {
	broken := false
	whole := 0
	for i := range streams {
		a := answers[fmt.Sprintf("%04x", i)]
		d.record.note("%v", a)
		inOrder := true
		for n, id := range a.events {
			inOrder = inOrder && id == n+1
		}
		switch {
		case !inOrder:
			broken = true
			d.record.note("ORDER: stream %s has pieces missing or twice: %v", a.request, a.events)
		case a.complete && a.status == 200 && len(a.events) < pieces:
			broken = true
			d.record.note("ORDER: stream %s ended as complete after %d of %d pieces", a.request, len(a.events), pieces)
		case a.complete && a.status == 200:
			whole++
		}
	}
	d.record.note("%d of %d streams are whole", whole, streams)
	return broken
}
