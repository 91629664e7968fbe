package usage

import (
	"maps"
	"sync"
	"time"

	"quaybarrow/internal/clock"
)

const (
	// slotLength is how exactly it is known when a request began.
	slotLength = 100 * time.Millisecond
	// retention is how long a host can be asked for what it counted: a window is to be
	// reported 10 s after its end, and the host that does so may have died meanwhile.
	retention = 40 * time.Second
)

// Counter counts the requests that begin on a host; safe for use at once.
type Counter struct {
	incarnation string
	start    clock.Instant

	mu    sync.Mutex // guards all below
	slots map[int64]Counts
	sweptBefore int64
}

// NewCounter returns a counter of a life of a host.
func NewCounter(incarnation string) *Counter {
	return &Counter{incarnation: incarnation, start: clock.Now(), slots: map[int64]Counts{}}
}

// CountRequest counts a request that begins now.
func (c *Counter) CountRequest(workspace string) {
	slot := int64(clock.Since(c.start) / slotLength)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.slots[slot] == nil {
		c.slots[slot] = Counts{}
	}
	c.slots[slot][workspace]++
	c.sweep(slot - int64(retention/slotLength))
}

// sweep drops slots before one, at most once in each.
func (c *Counter) sweep(before int64) {
	if before <= c.sweptBefore {
		return
	}
	c.sweptBefore = before
	maps.DeleteFunc(c.slots, func(slot int64, _ Counts) bool { return slot < before })
}

// Snapshot is what was counted in windows of a length from one on, if the time of day is now.
func (c *Counter) Snapshot(now time.Time, length time.Duration, since Window) HostUsage {
	elapsed := clock.Since(c.start)
	c.mu.Lock()
	defer c.mu.Unlock()
	a := HostUsage{Incarnation: c.incarnation, Windows: map[Window]Counts{}}
	for slot, counts := range c.slots {
		middle := time.Duration(slot)*slotLength + slotLength/2
		w := WindowOf(now.Add(middle-elapsed), length)
		if w < since {
			continue
		}
		a.Windows[w] = a.Windows[w].plus(counts)
	}
	return a
}
