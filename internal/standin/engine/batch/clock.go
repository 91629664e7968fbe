package batch

import (
	"container/heap"
	"time"

	"quaybarrow/internal/clock"
)

// Clock is a virtual clock that runs events in the order of their times, and events of the same time
// in the order in which they were added. It is for a single goroutine. The zero value is ready for use.
type Clock struct {
	now    time.Duration
	added  int
	events events
}

// Now returns the virtual time since the start.
func (c *Clock) Now() time.Duration { return c.now }

// Instant returns the virtual time as an instant, for fleet.Options.
func (c *Clock) Instant() clock.Instant { return clock.At(time.Unix(0, 0).Add(c.now)) }

// After calls do after d.
func (c *Clock) After(d time.Duration, do func()) {
	c.added++
	heap.Push(&c.events, event{at: c.now + max(d, 0), serial: c.added, do: do})
}

// Run runs all events up to a time and advances the clock to it.
func (c *Clock) Run(until time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= until {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.do()
	}
	c.now = until
}

type event struct {
	at     time.Duration
	serial int
	do     func()
}

// events is a heap of events.
type events []event

// Len implements heap.Interface.
func (e events) Len() int { return len(e) }

// Less implements heap.Interface.
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].serial < e[j].serial
}

// Swap implements heap.Interface.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return x
}
