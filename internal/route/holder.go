package route

import (
	"sync/atomic"
	"time"

	"quaybarrow/internal/clock"
)

// held is a table and when the host last knew it to be the newest.
type held struct {
	table     *Table
	confirmed clock.Instant
}

// Holder keeps the newest table of a host; safe for use at once.
type Holder struct {
	now   atomic.Pointer[held]
	known chan struct{}
}

// NewHolder returns a holder without a table.
func NewHolder() *Holder { return &Holder{known: make(chan struct{})} }

// Loaded returns a channel that is closed once there is a table.
func (h *Holder) Loaded() <-chan struct{} { return h.known }

// Table returns the table in force, nil if there is none yet.
func (h *Holder) Table() *Table {
	if now := h.now.Load(); now != nil {
		return now.table
	}
	return nil
}

// Apply brings a table into force unless one as new or newer is; it reports
// whether it did.
func (h *Holder) Apply(t *Table) bool {
	for {
		old := h.now.Load()
		if old != nil && old.table.version >= t.version {
			return false
		}
		if h.now.CompareAndSwap(old, &held{table: t, confirmed: clock.Now()}) {
			if old == nil {
				close(h.known)
			}
			return true
		}
	}
}

// Confirm notes that the table in force was the newest a moment ago.
func (h *Holder) Confirm() {
	old := h.now.Load()
	if old == nil {
		return
	}
	h.now.CompareAndSwap(old, &held{table: old.table, confirmed: clock.Now()})
}

// Age is how long ago the table was last known to be the newest; false if there
// is none.
func (h *Holder) Age() (time.Duration, bool) {
	now := h.now.Load()
	if now == nil {
		return 0, false
	}
	return clock.Since(now.confirmed), true
}
