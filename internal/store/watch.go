package store

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"quaybarrow/internal/clock"
)

// ErrCompacted means that the changes asked for are no longer kept: read the
// table whole and go on from there.
var ErrCompacted = errors.New("history was compacted")

// Change is a row as it now stands, or the removal of one.
type Change struct {
	Row
	Deleted bool
}

// State is a table as of one moment.
type State struct {
	Rows    []Row
	Version int64 // changes after it are yet to come
}

// Watcher reads tables whole and waits for their changes.
type Watcher interface {
	// State reads a whole table.
	State(ctx context.Context, table string) (State, error)
	// Changes waits at most a time for rows that changed after a version, and
	// returns them in order with the version to go on from. None within the
	// time is no error. ErrCompacted if the history is gone.
	Changes(ctx context.Context, table string, after int64, wait time.Duration) ([]Change, int64, error)
	// Now bounds what the store's steady clock shows; false before the first answer.
	Now() (clock.Bounds, bool)
}
