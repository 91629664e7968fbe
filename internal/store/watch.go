package store

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"quaybarrow/internal/clock"
)

// ErrCompacted means that the requested changes are no longer stored. The caller reads the whole
// table and continues from its version.
var ErrCompacted = errors.New("history was compacted")

// Change is the new state of a row, or its deletion.
type Change struct {
	Row
	Deleted bool
}

// State is a snapshot of a table.
type State struct {
	Rows    []Row
	Version int64 // version of the snapshot, for Watcher.Changes
}

// Watcher reads whole tables and waits for their changes.
type Watcher interface {
	// State reads a whole table.
	State(ctx context.Context, table string) (State, error)
	// Changes waits up to wait for rows that changed after a version, and returns them in order
	// with the version to continue from. It is not an error if there are none in that time. It
	// returns ErrCompacted if the history is gone.
	Changes(ctx context.Context, table string, after int64, wait time.Duration) ([]Change, int64, error)
	// Now returns bounds of the store's steady clock, and false before the first reply.
	Now() (clock.Bounds, bool)
}
