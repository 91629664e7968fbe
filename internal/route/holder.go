package route

import (
	"sync/atomic"
	"time"

	"quaybarrow/internal/clock"
)

// tableState is a table and the time at which it was last known to be the newest.
type tableState struct {
	table     *Table
	confirmed clock.Instant
}

// Holder holds the newest table of a host. It is safe for concurrent use.
type Holder struct {
	current atomic.Pointer[tableState]
	loaded  chan struct{}
}

// NewHolder returns a holder without a table.
func NewHolder() *Holder { return &Holder{loaded: make(chan struct{})} }

// Loaded returns a channel that is closed once there is a table.
func (h *Holder) Loaded() <-chan struct{} { return h.loaded }

// Table returns the table in force, nil if there is none yet.
func (h *Holder) Table() *Table {
	if current := h.current.Load(); current != nil {
		return current.table
	}
	return nil
}

// Apply replaces the table in force if t has a higher version, and reports whether it did.
func (h *Holder) Apply(t *Table) bool {
	for {
		old := h.current.Load()
		if old != nil && old.table.version >= t.version {
			return false
		}
		if h.current.CompareAndSwap(old, &tableState{table: t, confirmed: clock.Now()}) {
			if old == nil {
				close(h.loaded)
			}
			return true
		}
	}
}

// Confirm records that the table in force is known to be the newest at this time.
func (h *Holder) Confirm() {
	old := h.current.Load()
	if old == nil {
		return
	}
	h.current.CompareAndSwap(old, &tableState{table: old.table, confirmed: clock.Now()})
}

// Age returns the time since the table was last known to be the newest; false if there is no table.
func (h *Holder) Age() (time.Duration, bool) {
	current := h.current.Load()
	if current == nil {
		return 0, false
	}
	return clock.Since(current.confirmed), true
}
