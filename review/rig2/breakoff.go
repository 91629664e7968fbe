package main

import (
	"fmt"
	"sync"
	"time"
)

// Parameters of the case "breakoff": half of the workers break off one stream in twenty.
const (
	breakOffStreams = 400
	breakOffEvents  = 20
	breakOffGap     = 30 * time.Millisecond
	breakOffEvery   = 20
	breakOffSpacing = 25 * time.Millisecond
)

// runBreakOff has workers break off streams that state no length, inside an event.
func runBreakOff(d *deployment, trouble bool) (bool, error) {
	d.store.Put("op", "config", config(3, 4000))
	for i := range 4 {
		args := []string{"-events", fmt.Sprint(breakOffEvents), "-gap", breakOffGap.String(), "-unframed", fmt.Sprint(breakOffEvery)}
		if trouble && i%2 == 0 {
			args = append(args, "-break-off", fmt.Sprint(breakOffEvery))
		}
		if _, err := d.startWorker(fmt.Sprintf("i-lm%d", i), "lm", zones[i%len(zones)], "", args...); err != nil {
			return false, err
		}
	}
	if err := d.startHosts(firstGraceS); err != nil {
		return false, err
	}
	var mu sync.Mutex
	answers := map[string]answer{}
	var asking sync.WaitGroup
	for i := range breakOffStreams {
		r, h := newModelRequest(fmt.Sprintf("%04x", i)), d.hosts[i%len(d.hosts)]
		asking.Go(func() {
			time.Sleep(time.Duration(i) * breakOffSpacing)
			a := ask(h.address(h.ports.front), r)
			mu.Lock()
			answers[r.id] = a
			mu.Unlock()
		})
	}
	d.record.note("%d streams are asked for", breakOffStreams)
	asking.Wait()
	if err := d.recordWorkers(); err != nil {
		return false, err
	}
	return d.judgeStreams(answers, breakOffStreams, breakOffEvents), nil
}
