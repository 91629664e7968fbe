// Package follow keeps a host's picture of a store's table up to date.
//
// # Usage
//
//	go follow.Run(ctx, follow.Options{Watch: watcher, Table: "endpoints", Logger: logger}, picture)
//
// The table is read whole once, then its changes are waited for. After an error
// the wait goes on from the last version; when the history is gone the table is
// read whole again. Waits are short while the store does not answer, so that the
// picture is right soon after it is back.
package follow

import (
	"context"
	"fmt"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/store"
)

// Waits of a follower.
const (
	// waitLong is one wait for changes. Each is a priced call; a feed that went
	// silent without an error is noticed when the wait is over.
	waitLong = 3 * time.Second
	// waitShort is one wait until the store has answered again.
	waitShort  = 500 * time.Millisecond
	retryMost  = 800 * time.Millisecond
	retryFirst = 100 * time.Millisecond
	// awayAfter is how long after an error entries that vanish are taken to have
	// lapsed while the store was away.
	awayAfter = 3 * time.Second
)

// Replica takes in what the table says.
type Replica interface {
	// Reset replaces everything; away tells that the store was not reached a
	// moment ago.
	Reset(rows []store.Row, afterOutage bool)
	// Change takes in rows that changed.
	Change(changes []store.Change, afterOutage bool)
	// Confirm notes that nothing has changed up to now.
	Confirm()
}

// Options set up a follower.
type Options struct {
	Watch  store.Watcher
	Table  string
	Logger *log.Logger
}

// follower is a follower's state.
type follower struct {
	Options
	picture Replica
	version int64 // -1 until the table was read
	lost    bool
	failed  clock.Instant // the last error
	retry   time.Duration
}

// Run follows a table until the context ends.
func Run(ctx context.Context, o Options, p Replica) {
	f := &follower{Options: o, picture: p, version: -1, retry: retryFirst}
	for ctx.Err() == nil {
		err := f.step(ctx)
		switch {
		case err == nil:
			f.handleSuccess()
		case errors.Is(err, store.ErrCompacted):
			f.Logger.Warn("history of the table is gone; reading it whole", "table", f.Table, "version", f.version)
			f.version = -1
		case ctx.Err() == nil:
			f.handleFailure(ctx, err)
		}
	}
}

// step reads the table, or waits for its next changes.
func (f *follower) step(ctx context.Context) error {
	if f.version < 0 {
		state, err := f.Watch.State(ctx, f.Table)
		if err != nil {
			return fmt.Errorf("follow %s: %w", f.Table, err)
		}
		f.picture.Reset(state.Rows, f.afterOutage())
		f.version = state.Version
		return nil
	}
	wait := waitLong
	if f.lost {
		wait = waitShort
	}
	changes, version, err := f.Watch.Changes(ctx, f.Table, f.version, wait)
	if err != nil {
		return fmt.Errorf("follow %s: %w", f.Table, err)
	}
	f.version = version
	if len(changes) > 0 {
		f.picture.Change(changes, f.afterOutage())
	}
	f.picture.Confirm()
	return nil
}

// afterOutage reports whether the store was not reached a moment ago.
func (f *follower) afterOutage() bool {
	return !f.failed.IsZero() && clock.Since(f.failed) < awayAfter
}

func (f *follower) handleSuccess() {
	if f.lost {
		f.Logger.Info("store regained", "table", f.Table, "version", f.version)
	}
	f.lost, f.retry = false, retryFirst
}

func (f *follower) handleFailure(ctx context.Context, err error) {
	if !f.lost {
		f.Logger.Warn("store lost", "table", f.Table, "version", f.version, "error", err)
	}
	f.lost, f.failed = true, clock.Now()
	clock.Sleep(ctx, clock.Jitter(f.retry))
	f.retry = min(2*f.retry, retryMost)
}
