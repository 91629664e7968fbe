package experiment

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"quaybarrow/internal/clock"
)

// event is something that happens at a moment of virtual time.
type event struct {
	at     time.Duration
	serial int
	do     func()
}

// clockwork runs events in order of their time.
type clockwork struct {
	now    time.Duration
	serial int
	events eventHeap
}

// at has something done at a moment.
func (c *clockwork) at(when time.Duration, do func()) {
	c.serial++
	heap.Push(&c.events, event{at: max(when, c.now), serial: c.serial, do: do})
}

// after has something done after a time.
func (c *clockwork) after(d time.Duration, do func()) { c.at(c.now+d, do) }

// run lets time pass until a moment.
func (c *clockwork) run(until time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= until {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.do()
	}
	c.now = until
}

// wall is the virtual time as a time.Time, for decisions that take one.
func (c *clockwork) wall() time.Time { return time.Unix(0, 0).Add(c.now) }

// instant is the virtual time as a moment.
func (c *clockwork) instant() clock.Instant { return clock.At(c.wall()) }

// eventHeap implements heap.Interface.
type eventHeap []event

// Len implements heap.Interface.
func (h eventHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].serial < h[j].serial
}

// Swap implements heap.Interface.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// source returns the random numbers of a seed.
func source(seed int, stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(uint64(seed)+1, stream))
}

// exponential draws a time between arrivals of a rate per second.
func exponential(r *rand.Rand, rate float64) time.Duration {
	return time.Duration(-math.Log(1-r.Float64()) / rate * float64(time.Second))
}

// seconds makes a duration of a scenario's number.
func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }
