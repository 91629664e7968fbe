package main

import (
	"fmt"
	"sync"
	"time"
)

// Parameters of the case "noop".
const (
	noopBefore   = 3 * time.Second  // from the first request to the order
	noopAfter    = 37 * time.Second // from the order to the last request
	noopDuration = 16               // of the order, in seconds
	noopSpacing  = 100 * time.Millisecond
	// starvedPart of the share of all requests that are served is the least that a kind may have.
	starvedPart = 0.25
)

// tally counts the requests of a kind, and those that were served.
type tally struct{ asked, served int }

func (t tally) share() float64 { return float64(t.served) / float64(max(t.asked, 1)) }

// runNoop has the operator order a service to the version that all of its workers have.
func runNoop(d *deployment, trouble bool) (bool, error) {
	d.store.Put("op", "config", config(3, 4000))
	startModels := func(from int) error {
		for i, zone := range zones {
			if _, err := d.startWorker(fmt.Sprintf("i-lm%d", from+i), "lm", zone, "", "-events", "10", "-gap", "30ms"); err != nil {
				return err
			}
		}
		return nil
	}
	if err := startModels(0); err != nil {
		return false, err
	}
	for i, zone := range zones {
		if _, err := d.startWorker(fmt.Sprintf("i-app%d", i), "app", zone, ""); err != nil {
			return false, err
		}
	}
	if err := d.startHosts(firstGraceS); err != nil {
		return false, err
	}
	var mu sync.Mutex
	var asking sync.WaitGroup
	kinds := map[string]tally{}
	began := time.Now()
	steps := int((noopBefore + noopAfter) / noopSpacing)
	for i := range steps {
		h := d.hosts[i%len(d.hosts)]
		stream := newModelRequest(fmt.Sprintf("s%04d", i))
		lookup := clientRequest{id: fmt.Sprintf("a%04d", i), method: "GET", path: "/again/x", budgetMs: 4000}
		for kind, r := range map[string]clientRequest{"stream": stream, "lookup": lookup} {
			asking.Go(func() {
				time.Sleep(time.Until(began.Add(time.Duration(i) * noopSpacing)))
				a := ask(h.address(h.ports.front), r)
				d.record.note("%v", a)
				mu.Lock()
				defer mu.Unlock()
				t := kinds[kind]
				t.asked++
				if a.complete && a.status == 200 {
					t.served++
				}
				kinds[kind] = t
			})
		}
	}
	time.Sleep(time.Until(began.Add(noopBefore)))
	if err := startModels(len(zones)); err != nil {
		return false, err
	}
	if trouble {
		d.record.note("the operator orders lm to version v1 within %d s; all workers of lm have v1", noopDuration)
		d.store.Put("op", "rollout/lm", map[string]any{"service": "lm", "target_version": "v1", "duration_s": noopDuration})
	}
	asking.Wait()
	d.record.note("status/rollout/lm: %s", d.store.value("status", "rollout/lm"))
	all := tally{}
	for _, t := range kinds {
		all.asked, all.served = all.asked+t.asked, all.served+t.served
	}
	broken := false
	for kind, t := range kinds {
		d.record.note("%s: %d of %d served; all: %d of %d", kind, t.served, t.asked, all.served, all.asked)
		if t.share() < starvedPart*all.share() {
			broken = true
			d.record.note("Starved: %s is served under a quarter as often as all requests", kind)
		}
	}
	return broken, nil
}
