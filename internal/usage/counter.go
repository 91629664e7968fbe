package usage

import (
	"maps"
	"sync"
	"time"

	"quaybarrow/internal/clock"
)

const (
	// slotLength is the resolution at which the start of a request is recorded.
	slotLength = 100 * time.Millisecond
	// retention is how long a host keeps its counts for queries. A window is due to be reported
	// 10 s after its end, and the reporting host may have failed in the meantime.
	retention = 40 * time.Second
)

// Counter counts the requests that start on a host. It is safe for concurrent use.
type Counter struct {
	incarnation string
	start       clock.Instant

	mu          sync.Mutex // guards the fields below
	slots       map[int64]Counts
	sweptBefore int64
}

// NewCounter returns a counter for one incarnation of a host.
func NewCounter(incarnation string) *Counter {
	return &Counter{incarnation: incarnation, start: clock.Now(), slots: map[int64]Counts{}}
}

// CountRequest counts a request that starts now.
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

// sweep drops the slots before the given one. It scans the slots at most once per slot length.
func (c *Counter) sweep(before int64) {
	if before <= c.sweptBefore {
		return
	}
	c.sweptBefore = before
	maps.DeleteFunc(c.slots, func(slot int64, _ Counts) bool { return slot < before })
}

// Snapshot returns the counts per window of the given length, from window since on. The slots are
// assigned to windows on the assumption that the current time of day is now.
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
