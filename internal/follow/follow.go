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
	// watchWait is one wait for changes. Each is a priced call; a feed that went
	// silent without an error is noticed when the wait is over.
	watchWait = 3 * time.Second
	// reconnectWait is one wait until the store has answered again.
	reconnectWait     = 500 * time.Millisecond
	maxRetryDelay     = 800 * time.Millisecond
	initialRetryDelay = 100 * time.Millisecond
	// outageWindow is how long after an error entries that vanish are taken to have
	// lapsed while the store was away.
	outageWindow = 3 * time.Second
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
	replica     Replica
	version     int64 // -1 until the table was read
	storeLost   bool
	lastFailure clock.Instant // the last error
	retryDelay  time.Duration
}

// Run follows a table until the context ends.
func Run(ctx context.Context, o Options, p Replica) {
	f := &follower{Options: o, replica: p, version: -1, retryDelay: initialRetryDelay}
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
		f.replica.Reset(state.Rows, f.afterOutage())
		f.version = state.Version
		return nil
	}
	wait := watchWait
	if f.storeLost {
		wait = reconnectWait
	}
	changes, version, err := f.Watch.Changes(ctx, f.Table, f.version, wait)
	if err != nil {
		return fmt.Errorf("follow %s: %w", f.Table, err)
	}
	f.version = version
	if len(changes) > 0 {
		f.replica.Change(changes, f.afterOutage())
	}
	f.replica.Confirm()
	return nil
}

// afterOutage reports whether the store was not reached a moment ago.
func (f *follower) afterOutage() bool {
	return !f.lastFailure.IsZero() && clock.Since(f.lastFailure) < outageWindow
}

func (f *follower) handleSuccess() {
	if f.storeLost {
		f.Logger.Info("store regained", "table", f.Table, "version", f.version)
	}
	f.storeLost, f.retryDelay = false, initialRetryDelay
}

func (f *follower) handleFailure(ctx context.Context, err error) {
	if !f.storeLost {
		f.Logger.Warn("store lost", "table", f.Table, "version", f.version, "error", err)
	}
	f.storeLost, f.lastFailure = true, clock.Now()
	clock.Sleep(ctx, clock.Jitter(f.retryDelay))
	f.retryDelay = min(2*f.retryDelay, maxRetryDelay)
}
