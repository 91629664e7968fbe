// Package batch combines concurrent calls into one.
//
// # Usage
//
//	b := batch.New(100, func(ctx context.Context, items []Item) error { ... })
//	err := b.Do(ctx, item)
//
// While one send is in progress, later items are queued and sent together afterwards. An idle
// batcher sends immediately, so batching adds no latency when there is no load.
package batch

import (
	"context"
	"sync"
	"time"
)

// sendTimeout bounds one send.
const sendTimeout = 3 * time.Second

// Batcher sends items of one type in batches.
type Batcher[T any] struct {
	limit int
	send  func(context.Context, []T) error

	mu      sync.Mutex // guards all below
	queue   []pendingItem[T]
	sending bool
}

// pendingItem is an item and the channel that receives its result.
type pendingItem[T any] struct {
	item T
	done chan error
}

// New returns a batcher that sends up to limit items per batch.
func New[T any](limit int, send func(context.Context, []T) error) *Batcher[T] {
	return &Batcher[T]{limit: limit, send: send}
}

// Do sends an item, possibly together with others, and returns the error of the send. If ctx ends
// first, the item may still be sent.
func (b *Batcher[T]) Do(ctx context.Context, item T) error {
	c := pendingItem[T]{item: item, done: make(chan error, 1)}
	b.mu.Lock()
	b.queue = append(b.queue, c)
	if !b.sending {
		b.sending = true
		go b.sendQueued()
	}
	b.mu.Unlock()
	select {
	case err := <-c.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// sendQueued sends batches until the queue is empty.
func (b *Batcher[T]) sendQueued() {
	for {
		calls := b.dequeue()
		if len(calls) == 0 {
			return
		}
		items := make([]T, len(calls))
		for i, c := range calls {
			items[i] = c.item
		}
		ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
		err := b.send(ctx, items)
		cancel()
		for _, c := range calls {
			c.done <- err
		}
	}
}

// dequeue removes the next batch from the queue. If the queue is empty, the batcher becomes idle.
func (b *Batcher[T]) dequeue() []pendingItem[T] {
	b.mu.Lock()
	defer b.mu.Unlock()
	count := min(len(b.queue), b.limit)
	calls := b.queue[:count:count]
	b.queue = b.queue[count:]
	if count == 0 {
		b.sending = false
		b.queue = nil
	}
	return calls
}
