package gateway

import (
	"maps"
	"sync"
)

// runningCounter counts the requests in progress by service. It is safe for concurrent use.
type runningCounter struct {
	mu     sync.Mutex // guards counts
	counts map[string]int
}

func newRunningCounter() *runningCounter { return &runningCounter{counts: map[string]int{}} }

func (r *runningCounter) add(service string, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[service] += n
	if r.counts[service] == 0 {
		delete(r.counts, service)
	}
}

// Running returns the number of requests in progress by service: those at endpoints and those on
// their way there.
func (g *Gateway) Running() map[string]int {
	g.running.mu.Lock()
	defer g.running.mu.Unlock()
	return maps.Clone(g.running.counts)
}

// countUsage counts the request for its workspace when it starts to run. Further attempts at it, at
// larger models or after a failure, are the same request.
func (x *exchange) countUsage() {
	if x.counted || x.g.Usage == nil {
		return
	}
	x.counted = true
	x.g.Usage.CountRequest(x.workspace)
}
