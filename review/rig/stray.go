//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// The disruption of stray: one worker of three sends more after a whole answer. How often and for how long
// stands with garbleFor.
const (
	// strayAfter is how long after the whole answer the bytes come.
	strayAfter = 40 * time.Millisecond
	// strayAnswer is how a worker rejects what has no id. It belongs to no request.
	strayAnswer = "HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	orderWork   = 60 * time.Millisecond // as in the site's sheet
)

func init() { cases["stray"] = stray }

// stray sends calls that may not be repeated, on a route as the deployment has it, to three workers. One
// of them also sends bytes that belong to no request, unless TROUBLE=0.
func stray(r *rig) (bool, error) {
	var workers []*worker
	for i, zone := range zones {
		w := &worker{id: fmt.Sprintf("i-%d", i), service: "oja-app", zone: zone, slots: 6, behave: strayWorker(r, i == 0)}
		if err := r.startWorker(w); err != nil {
			return false, err
		}
		workers = append(workers, w)
	}
	r.configure(map[string]any{
		"version": 7, "limits": limits, "tenants": tenants,
		"routes": []map[string]any{{
			"name": "r-1", "host": "a.example", "path_prefix": "/order/", "kind": "non_idempotent", "timeout_ms": 1500, "target_latency_ms": 300, "priority": 2,
			"service": "oja-app", "max_attempts": 1, "public": false,
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
	for n := range 30 { // consumers, each with one call at a time
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

// strayWorker returns the behavior of a worker that runs each call and answers it. A faulty one sends
// strayAnswer after some answers while there is trouble.
func strayWorker(r *rig, faulty bool) func(*worker, *call) {
	var answers atomic.Int64
	return func(w *worker, c *call) {
		c.begin()
		time.Sleep(orderWork)
		c.answer(http.StatusOK, true, nil, "done")
		if !faulty || !r.troubled() || answers.Add(1)%garbleEvery != 0 {
			return
		}
		time.AfterFunc(strayAfter, func() {
			r.note("worker %s: sends more after its answer to %s", w.id, c.id)
			_, _ = io.WriteString(c.conn, strayAnswer)
		})
	}
}
