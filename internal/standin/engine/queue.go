package engine

import (
	"container/heap"
	"context"

	"github.com/pkg/errors"

	"quaybarrow/internal/declare"
)

// errFull means that neither a slot nor a place in the queue was free.
var errFull = errors.New("queue is full")

// waiter is a request in the queue.
type waiter struct {
	rank   int // lower goes first
	serial int
	ready  chan struct{}
	index  int
}

// waiters is a heap of waiters by rank, then arrival.
type waiters struct {
	items  []*waiter
	serial int
}

// Len implements heap.Interface.
func (w *waiters) Len() int { return len(w.items) }

// Less implements heap.Interface.
func (w *waiters) Less(i, j int) bool {
	if w.items[i].rank != w.items[j].rank {
		return w.items[i].rank < w.items[j].rank
	}
	return w.items[i].serial < w.items[j].serial
}

// Swap implements heap.Interface.
func (w *waiters) Swap(i, j int) {
	w.items[i], w.items[j] = w.items[j], w.items[i]
	w.items[i].index, w.items[j].index = i, j
}

// Push implements heap.Interface.
func (w *waiters) Push(x any) {
	item := x.(*waiter)
	item.index = len(w.items)
	w.items = append(w.items, item)
}

// Pop implements heap.Interface.
func (w *waiters) Pop() any {
	item := w.items[len(w.items)-1]
	w.items = w.items[:len(w.items)-1]
	item.index = -1
	return item
}

// acquire waits for a slot of the batch.
func (e *Engine) acquire(ctx context.Context, priority string) error {
	e.mu.Lock()
	if e.running < e.options.Slots {
		e.running++
		e.mu.Unlock()
		return nil
	}
	if e.queue.Len() >= e.options.Queue {
		e.mu.Unlock()
		return errFull
	}
	w := e.enqueue(priority)
	e.mu.Unlock()
	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
		return e.abandon(w, ctx.Err())
	}
}

// enqueue adds a waiter; the caller holds mu.
func (e *Engine) enqueue(priority string) *waiter {
	e.queue.serial++
	w := &waiter{serial: e.queue.serial, ready: make(chan struct{})}
	if priority == string(declare.PriorityBatch) {
		w.rank = 1
	}
	heap.Push(&e.queue, w)
	return w
}

// abandon takes a waiter out, or gives its slot back if it just got one.
func (e *Engine) abandon(w *waiter, cause error) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if w.index >= 0 {
		heap.Remove(&e.queue, w.index)
		return cause
	}
	e.releaseLocked()
	return cause
}

// release gives a slot to the next waiter.
func (e *Engine) release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.releaseLocked()
}

func (e *Engine) releaseLocked() {
	if e.queue.Len() == 0 {
		e.running--
		return
	}
	w := heap.Pop(&e.queue).(*waiter)
	close(w.ready)
}
