//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// The disruption of surplus, stray and foreign, within the figures of the site file for garble with "extra late"
// (share 0.6, x 0.03, for_s 5.0): one worker of a service sends more after fewer than three answers in a
// hundred, late, for 5 s, several times.
const (
	garbleFor   = 5 * time.Second
	garbleTimes = 6
	garblePause = 2 * time.Second
	garbleEvery = 34
	// lateBy is how much later the copy comes.
	lateBy = 40 * time.Millisecond
)

// fullEvery is how often a call meets workers that are full for a moment: one call in six.
const fullEvery = 6

func init() { cases["surplus"] = surplus }

// surplus sends calls that may not be repeated to two workers. One call in six meets workers that are full
// for a moment: each turns it away at its first arrival, and runs it when it comes again. One worker also
// sends some of its rejections twice, unless TROUBLE=0.
func surplus(r *rig) (bool, error) {
	var workers []*worker
	for i, zone := range zones[:2] {
		w := &worker{id: fmt.Sprintf("i-%d", i), service: "oja-app", zone: zone, slots: 6, behave: orderWorker(r, i == 0)}
		if err := r.startWorker(w); err != nil {
			return false, err
		}
		workers = append(workers, w)
	}
	r.configure(map[string]any{
		"version": 7, "limits": limits, "tenants": tenants,
		"routes": []map[string]any{{
			"name": "r-1", "host": "a.example", "path_prefix": "/order/", "kind": "non_idempotent", "timeout_ms": 1500, "target_latency_ms": 300, "priority": 2,
			"service": "oja-app", "max_attempts": 4, "public": false,
		}},
		"services": []map[string]any{{"name": "oja-app", "health_path": "/health", "max_conns": 100, "protocol": "h1", "tls": false}},
	})
	if err := r.startHosts(134); err != nil {
		return false, err
	}
	go r.garble()
	outcomes := map[string]outcome{}
	var mu sync.Mutex
	var consumers sync.WaitGroup
	for n := range 60 { // consumers, each with one call at a time
		consumers.Go(func() {
			for i := range 140 {
				id := fmt.Sprintf("%02x%06x", n, i)
				h := r.hosts[n%len(r.hosts)]
				r.note("consumer: sends %s to %s", id, h.name)
				o := r.send(h, request{id: id, method: http.MethodPost, host: "a.example", path: "/order/2f", deadline: 3 * time.Second, body: "an order"})
				r.note("consumer: %s: %v", id, o)
				mu.Lock()
				outcomes[id] = o
				mu.Unlock()
				time.Sleep(250 * time.Millisecond)
			}
		})
		time.Sleep(15 * time.Millisecond)
	}
	consumers.Wait()
	time.Sleep(2 * time.Second) // calls that were refused may still run
	return r.judgeRefused(workers, outcomes), nil
}

// garble turns the disruption on and off.
func (r *rig) garble() {
	for range garbleTimes {
		r.setTroubled(true)
		time.Sleep(garbleFor)
		r.setTroubled(false)
		time.Sleep(garblePause)
	}
}

// orderWorker returns the behavior of a worker that runs a call for 60 ms, or is full when it first arrives. A
// faulty one sends some of its rejections a second time while there is trouble, fewer than three answers in a
// hundred.
func orderWorker(r *rig, faulty bool) func(*worker, *call) {
	var answers, copies atomic.Int64
	return func(w *worker, c *call) {
		if r.troubled() {
			answers.Add(1)
		}
		if !c.firstOf() || !meetsFull(c.id) {
			c.begin()
			time.Sleep(60 * time.Millisecond)
			c.answer(http.StatusOK, true, nil, "done")
			return
		}
		r.note("worker %s: turns %s away: full", w.id, c.id)
		rejection := c.text(http.StatusServiceUnavailable, false, nil, "full")
		_, _ = io.WriteString(c.conn, rejection)
		if !faulty || !r.troubled() || (copies.Load()+1)*garbleEvery > answers.Load() {
			return
		}
		copies.Add(1)
		time.AfterFunc(lateBy, func() {
			r.note("worker %s: sends its rejection of %s again", w.id, c.id)
			_, _ = io.WriteString(c.conn, rejection)
		})
	}
}

// meetsFull reports whether a call meets workers that are full.
func meetsFull(id string) bool {
	n, _ := strconv.ParseInt(id, 16, 64)
	return n%fullEvery == 0
}

// firstOf reports whether the worker sees the call's id for the first time.
func (c *call) firstOf() bool {
	c.worker.mu.Lock()
	defer c.worker.mu.Unlock()
	first := !c.worker.arrived[c.id]
	c.worker.arrived[c.id] = true
	return first
}

// judgeRefused reports whether a call ran though its answer promised that it did not and never will, or ran
// more than once.
func (r *rig) judgeRefused(workers []*worker, outcomes map[string]outcome) bool {
	runs := countRuns(workers)
	refused, twice := 0, 0
	for id, o := range outcomes {
		switch o.status {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			if runs[id] > 0 {
				r.note("REFUSED: %s was answered %d, yet it has run", id, o.status)
				refused++
			}
		}
		if runs[id] > 1 {
			r.note("TWICE: %s ran %d times", id, runs[id])
			twice++
		}
	}
	r.note("of %d calls %d ran; %d were refused and have run, %d ran more than once", len(outcomes), len(runs), refused, twice)
	return refused+twice > 0
}
