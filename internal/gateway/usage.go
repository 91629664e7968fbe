package gateway

import (
	"maps"
	"sync"
)

// running counts requests in hand, by service; safe for use at once.
type running struct {
	mu     sync.Mutex // guards counts
	counts map[string]int
}

func newRunning() *running { return &running{counts: map[string]int{}} }

func (r *running) add(service string, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[service] += n
	if r.counts[service] == 0 {
		delete(r.counts, service)
	}
}

// Running counts the requests in hand, by service: at endpoints or on their way there.
func (g *Gateway) Running() map[string]int {
	g.running.mu.Lock()
	defer g.running.mu.Unlock()
	return maps.Clone(g.running.counts)
}

// count counts the request for its workspace as it begins to run. Other attempts at it, at larger
// models or after a break, are the same request.
func (x *exchange) count() {
	if x.counted || x.g.Usage == nil {
		return
	}
	x.counted = true
	x.g.Usage.CountRequest(x.workspace)
}
