package config

import (
	"sync"
	"sync/atomic"
	"time"

	"quaybarrow/internal/clock"
)

// Holder holds the configuration in force on this host. The revision number only increases.
type Holder struct {
	current atomic.Pointer[Snapshot]

	mu        sync.Mutex    // guards all below and writes of current
	confirmed clock.Instant // last time at which current was known to be the head
	changed   chan struct{}
}

// NewHolder returns a holder without a configuration.
func NewHolder() *Holder { return &Holder{changed: make(chan struct{})} }

// Current returns the snapshot in force, or nil if no revision has been applied.
func (h *Holder) Current() *Snapshot { return h.current.Load() }

// Number returns the number of the revision in force, or 0 if no revision has been applied.
func (h *Holder) Number() int64 {
	if s := h.Current(); s != nil {
		return s.Number()
	}
	return 0
}

// Apply puts a revision in force if its number is higher than the current one, and reports
// whether it did.
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

// Changed returns a channel that is closed when the next revision is applied.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// Confirm records that a revision was the head at the given time. It ignores every revision other
// than the one in force, because those do not show whether the one in force is the head.
func (h *Holder) Confirm(number int64, at clock.Instant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if number == h.Number() && at.After(h.confirmed) {
		h.confirmed = at
	}
}

// Age returns the time since the revision in force was last known to be the head, or false if it
// never was.
func (h *Holder) Age() (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.confirmed.IsZero() {
		return 0, false
	}
	return clock.Since(h.confirmed), true
}
