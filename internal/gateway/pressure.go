package gateway

import (
	"sync"
	"time"

	"quaybarrow/internal/clock"
)

// Times after which callers come back that no endpoint took.
const (
	// comeBackLeast is for endpoints that have room again after a few requests' time, and
	// comeBackMost what callers of the longest time budgets heed.
	comeBackLeast = 400 * time.Millisecond
	comeBackMost  = 8 * time.Second
	// calmAfter the last refusal a load is taken to be over.
	calmAfter = time.Second
)

// pressure is since when a host refuses requests; safe for use at once. A load that has
// lasted for some time most likely lasts as long again: callers that came back after
// 0.4 s met the same full endpoints, and most were refused for good.
type pressure struct {
	mu          sync.Mutex // guards all below
	since, last time.Time
}

// comeBack notes a refusal and returns when the caller should come back; callers are
// spread by a tenth to either side.
func (p *pressure) comeBack(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.last) > calmAfter {
		p.since = now
	}
	p.last = now
	return clock.Around(min(max(now.Sub(p.since), comeBackLeast), comeBackMost))
}
