//go:build review

package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The load of bodies: a tenant's consumers send prompts that are nearly as long as the configuration allows.
// The disruption is a hot tenant, within the figures of the site file: 7.5 times its usual for 6.5 s, several times.
const (
	bodyBytes    = 4_000_000 // of 4,194,304 that max_body_bytes allows
	usualPause   = time.Second
	hotFor       = 6500 * time.Millisecond
	hotTimes     = 5
	memoryMB     = 134 // of the machines of the site
	restartDelay = 500 * time.Millisecond
	// Rule Fault: processes end on their own so often, on so many machines.
	faultEnds     = 3
	faultMachines = 2
)

// memory returns the resident memory of the process, in MB.
func (h *host) memory() int {
	h.mu.Lock()
	pid := h.cmd.Process.Pid
	h.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb / 1024
		}
	}
	return 0
}

// boundMemory does what the platform does: it kills a process that goes over its memory, and starts it again
// after a short delay.
func (h *host) boundMemory() {
	most := 0
	for {
		select {
		case <-h.rig.stop:
			h.rig.note("%s: most memory %d MB of %d, killed %d times", h.name, most, h.memoryMB, h.kills.Load())
			return
		case <-time.After(10 * time.Millisecond):
		}
		m := h.memory()
		most = max(most, m)
		if m <= h.memoryMB {
			continue
		}
		h.rig.note("platform: %s is at %d MB of %d and is killed", h.name, m, h.memoryMB)
		h.kills.Add(1)
		h.signal(syscall.SIGKILL)
		<-h.exited
		time.Sleep(restartDelay)
		if err := h.run(false); err != nil {
			h.rig.note("%s does not start: %v", h.name, err)
		}
	}
}

func init() { cases["bodies"] = bodies }

// bodies sends long prompts on a resumable streaming route.
func bodies(r *rig) (bool, error) {
	for i, zone := range zones {
		w := &worker{id: fmt.Sprintf("i-%d", i), service: "ofi-model", zone: zone, slots: 128, engine: true, behave: func(_ *worker, c *call) {
			c.begin()
			time.Sleep(200 * time.Millisecond)
			c.stream(64, 60*time.Millisecond, "Confidence: 95") // the site's mean number of events
		}}
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
	if err := r.startHosts(memoryMB); err != nil {
		return false, err
	}
	var watching sync.WaitGroup
	for _, h := range r.hosts {
		watching.Go(h.boundMemory)
	}
	go func() {
		time.Sleep(8 * time.Second)
		for range hotTimes {
			r.setTroubled(true)
			time.Sleep(hotFor)
			r.setTroubled(false)
			time.Sleep(5 * time.Second)
		}
	}()
	cut := r.sendBodies(8*time.Second + hotTimes*(hotFor+5*time.Second))
	machines := 0
	for _, h := range r.hosts {
		if h.kills.Load() >= faultEnds {
			machines++
		}
		r.note("%s was killed %d times for its memory", h.name, h.kills.Load())
	}
	r.note("%d streams were cut; processes of %d machines ended %d times or more", cut, machines, faultEnds)
	return machines >= faultMachines, nil
}

// sendBodies sends requests to all hosts for a time, and returns how many streams were cut.
func (r *rig) sendBodies(lasts time.Duration) int {
	body := strings.Repeat("p", bodyBytes)
	var cut, sent atomic.Int64
	var consumers sync.WaitGroup
	end := time.Now().Add(lasts)
	for n := range r.hosts {
		consumers.Go(func() {
			for time.Now().Before(end) {
				consumers.Go(func() {
					id := fmt.Sprintf("b%07x", sent.Add(1))
					q := request{id: id, method: http.MethodPost, host: "a.example", path: "/draft/2f", deadline: 25 * time.Second, body: body, fields: []string{
						"Model: *", "Token-Counts: 1460,384", "Prompt-Prefix: 5c1e07a2:800," + id[1:] + ":660",
					}}
					for try := range r.hosts { // the balancer passes a channel that is refused to another machine
						o := r.send(r.hosts[(n+try)%len(r.hosts)], q)
						if o.status == 0 && strings.Contains(fmt.Sprint(o.err), "refused") {
							continue
						}
						r.note("consumer: %s: %v", id, o)
						if o.status == 0 || (o.status == http.StatusOK && o.err != nil) {
							cut.Add(1)
						}
						return
					}
				})
				pause := usualPause
				if r.troubled() {
					pause = usualPause * 2 / 15 // 7.5 times as often
				}
				time.Sleep(pause)
			}
		})
	}
	consumers.Wait()
	return int(cut.Load())
}
