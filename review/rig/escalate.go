//go:build review

package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["escalate"] = escalate }

// escalate sends streams that may not be resumed on a route with sizes. The smaller model's answer states
// a low confidence, or with TROUBLE=0 a high one.
func escalate(r *rig) (bool, error) {
	confidence := "Confidence: 97"
	if r.trouble {
		confidence = "Confidence: 10"
	}
	var workers []*worker
	for i, zone := range zones {
		w := &worker{id: fmt.Sprintf("i-%d", i), service: "ofi-model", zone: zone, slots: 32, engine: true, behave: func(_ *worker, c *call) {
			c.begin()
			field := confidence
			if c.req.Header.Get("Model") == "large" {
				field = "Confidence: 95"
			}
			time.Sleep(50 * time.Millisecond)
			c.stream(5, 10*time.Millisecond, field)
		}}
		if err := r.startWorker(w); err != nil {
			return false, err
		}
		workers = append(workers, w)
	}
	r.configure(map[string]any{
		"version": 7, "limits": limits, "tenants": tenants,
		"routes": []map[string]any{{
			"name": "r-1", "host": "a.example", "path_prefix": "/draft/", "kind": "streaming", "timeout_ms": 20000, "target_latency_ms": 2000, "priority": 1,
			"sizes": []string{"small", "large"}, "service": "ofi-model", "max_attempts": 3, "public": false, "sticky": true, "resume_streams": false, "gap_aim_ms": 1200,
		}},
		"services": []map[string]any{{
			"name": "ofi-model", "health_path": "/health", "max_conns": 620, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 32, "kv_capacity_tokens": 682009, "models": []map[string]any{{"name": "small", "cost": 0.015}, {"name": "large", "cost": 0.22}}},
		}},
	})
	if err := r.startHosts(134); err != nil {
		return false, err
	}
	sent := 0
	for i := range 30 {
		id := fmt.Sprintf("e%07d", i)
		q := request{id: id, method: http.MethodPost, host: "a.example", path: "/draft/2f", deadline: 20 * time.Second, body: "prompt", fields: []string{
			"Model: *", "Token-Counts: 1460,80", fmt.Sprintf("Prompt-Prefix: 5c1e07a2:800,%08x:660", i),
		}}
		r.note("consumer: sends %s to %s", id, r.hosts[i%3].name)
		r.note("consumer: %s: %v", id, r.send(r.hosts[i%3], q))
		sent++
	}
	time.Sleep(time.Second)
	return r.judgeTwice(workers), nil
}

// judgeTwice reports whether a request ran more than once.
func (r *rig) judgeTwice(workers []*worker) bool {
	runs, twice := countRuns(workers), 0
	for id, n := range runs {
		if n > 1 {
			r.note("TWICE: %s ran %d times", id, n)
			twice++
		}
	}
	r.note("%d of %d requests that ran did so more than once", twice, len(runs))
	return twice > 0
}
