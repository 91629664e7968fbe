package config

import (
	"sync"
	"sync/atomic"
	"time"

	"quaybarrow/internal/clock"
)

// Holder keeps the configuration in force on this host. It only moves to
// higher revisions.
type Holder struct {
	current atomic.Pointer[Snapshot]

	mu        sync.Mutex    // guards all below and writes of current
	confirmed clock.Instant // when the head was last known to be current's
	changed   chan struct{}
}

// NewHolder returns a holder without a configuration.
func NewHolder() *Holder { return &Holder{changed: make(chan struct{})} }

// Current returns the snapshot in force, or nil before the first.
func (h *Holder) Current() *Snapshot { return h.current.Load() }

// Number returns the number of the revision in force; 0 before the first.
func (h *Holder) Number() int64 {
	if s := h.Current(); s != nil {
		return s.Number()
	}
	return 0
}

// Apply puts a revision in force if it is higher than the present one.
func (h *Holder) Apply(r Revision) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r.Number <= h.Number() {
		return false
	}
	h.current.Store(NewSnapshot(r))
	close(h.changed)
	h.changed = make(chan struct{})
	return true
}

// Changed returns a channel that is closed at the next change.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// Confirm notes that a revision was the head at a moment. It is ignored for
// another revision than the one in force: that says nothing about ours.
func (h *Holder) Confirm(number int64, at clock.Instant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if number == h.Number() && at.After(h.confirmed) {
		h.confirmed = at
	}
}

// Age returns the time since the revision in force was known to be the head;
// false if it never was.
func (h *Holder) Age() (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.confirmed.IsZero() {
		return 0, false
	}
	return clock.Since(h.confirmed), true
}
