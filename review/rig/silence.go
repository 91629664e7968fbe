//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The load peak of silence. From peakAfter on, the workers' memory is full for peakFor: they turn new
// requests away, and with the disruption they preempt the streams that run, which go on afterwards.
const (
	streams     = 2
	peakAfter   = 400 * time.Millisecond
	peakFor     = 4200 * time.Millisecond
	eventPause  = 100 * time.Millisecond
	eventsMade  = 12
	termAfter   = 600 * time.Millisecond
	settingsFor = 2 * time.Second
	// lostMost is how many cut streams are let pass.
	lostMost = 3
)

func init() { cases["silence"] = silence }

// peak tells when the load peak begins and ends.
type peak struct {
	mu     sync.Mutex // guards begins
	begins time.Time
}

func (p *peak) set(begins time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.begins = begins
}

// rest returns how long the peak still lasts; 0 if there is none.
func (p *peak) rest() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if p.begins.IsZero() || now.Before(p.begins) {
		return 0
	}
	return max(0, p.begins.Add(peakFor).Sub(now))
}

// silence sends streams that may be resumed to a host that is then stopped as planned, during a load peak.
// Each worker finishes all that it runs, long before the end of the grace.
func silence(r *rig) (bool, error) {
	p := &peak{}
	for i, zone := range zones {
		w := &worker{id: fmt.Sprintf("i-%d", i), service: "ofi-model", zone: zone, slots: 128, engine: true, behave: p.behave(r)}
		if err := r.startWorker(w); err != nil {
			return false, err
		}
	}
	r.configure(map[string]any{
		"version": 7, "limits": limits, "tenants": tenants,
		"routes": []map[string]any{{
			"name": "r-1", "host": "a.example", "path_prefix": "/draft/", "kind": "streaming", "timeout_ms": 25000, "target_latency_ms": 2000, "priority": 1,
			"sizes": []string{"small", "large"}, "service": "ofi-model", "max_attempts": 3, "public": false, "sticky": true, "resume_streams": true, "gap_aim_ms": 1200,
		}},
		"services": []map[string]any{{
			"name": "ofi-model", "health_path": "/health", "max_conns": 620, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 128, "kv_capacity_tokens": 682009, "models": []map[string]any{{"name": "small", "cost": 0.015}, {"name": "large", "cost": 0.22}}},
		}},
	})
	if err := r.startHosts(134); err != nil {
		return false, err
	}
	time.Sleep(settingsFor)
	lost := 0
	for _, h := range r.hosts {
		lost += r.stopInPeak(h, p)
	}
	r.note("%d streams that were passed on ended without their last event; let pass are %d", lost, lostMost)
	return lost > lostMost, nil
}

// stopInPeak sends streams to a host, stops it while they run, and starts it again. It returns how many were
// cut.
func (r *rig) stopInPeak(h *host, p *peak) int {
	p.set(time.Now().Add(peakAfter))
	var mu sync.Mutex
	var consumers sync.WaitGroup
	cut := 0
	for i := range streams {
		consumers.Go(func() {
			id := fmt.Sprintf("%s%d", h.zone[:3], i)
			q := request{id: id, method: http.MethodPost, host: "a.example", path: "/draft/2f", deadline: 25 * time.Second, body: "prompt", fields: []string{
				"Model: *", "Token-Counts: 1460,80", fmt.Sprintf("Prompt-Prefix: 5c1e07a2:800,%08x:660", i),
			}}
			r.note("consumer: sends %s to %s", id, h.name)
			o := r.send(h, q)
			r.note("consumer: %s: %v", id, o)
			if o.status == http.StatusOK && (o.err != nil || !strings.Contains(o.body, fmt.Sprintf("id: %d\n", eventsMade))) {
				mu.Lock()
				cut++
				mu.Unlock()
			}
		})
	}
	time.Sleep(termAfter)
	r.note("platform: SIGTERM to %s", h.name)
	h.signal(syscall.SIGTERM)
	consumers.Wait()
	<-h.exited
	if err := h.run(false); err != nil {
		r.note("%s does not start: %v", h.name, err)
	}
	_ = h.awaitReady(15 * time.Second)
	time.Sleep(settingsFor)
	return cut
}

// behave returns the behavior of a worker. It is full during the peak.
func (p *peak) behave(r *rig) func(*worker, *call) {
	return func(w *worker, c *call) {
		if p.rest() > 0 {
			r.note("worker %s: turns %s away: full", w.id, c.id)
			c.answer(http.StatusServiceUnavailable, false, nil, "full")
			return
		}
		c.begin()
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Load: 1,0,%d\r\nServer-Seal: seal.%s.%s\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\nConfidence: 95\r\nTransfer-Encoding: chunked\r\n\r\n", c.id, w.slots, w.id, c.id)
		_, err := io.WriteString(c.conn, head)
		for i := 1; i <= eventsMade && err == nil; i++ {
			time.Sleep(eventPause)
			if rest := p.rest(); rest > 0 && r.trouble {
				r.note("worker %s: preempts %s after event %d, for %d ms", w.id, c.id, i-1, rest.Milliseconds())
				time.Sleep(rest)
				r.note("worker %s: goes on with %s", w.id, c.id)
			}
			event := fmt.Sprintf("id: %d\ndata: of %s\n\n", i, c.req.Header.Get("Model"))
			_, err = fmt.Fprintf(c.conn, "%x\r\n%s\r\n", len(event), event)
		}
		if err == nil {
			_, err = io.WriteString(c.conn, "0\r\n\r\n")
		}
		if err != nil {
			r.note("worker %s: the channel of %s was closed", w.id, c.id)
			c.closed = true
			return
		}
		r.note("worker %s: ends %s whole", w.id, c.id)
	}
}
