// Package follow keeps a local replica of a store table up to date.
//
// # Usage
//
//	go follow.Run(ctx, follow.Options{Watch: watcher, Table: "endpoints", Logger: logger}, replica)
//
// The follower reads the whole table once and then waits for changes. After an error it continues
// from the last version; if the history since then is gone, it reads the whole table again. Waits
// are short while the store does not answer, so that the replica is current soon after the store
// recovers.
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

// Wait times of a follower.
const (
	// watchWait is the length of one call that waits for changes. The store charges for each call;
	// a feed that stops without an error is noticed when the call ends.
	watchWait = 3 * time.Second
	// reconnectWait replaces watchWait until the store has answered again.
	reconnectWait     = 500 * time.Millisecond
	maxRetryDelay     = 800 * time.Millisecond
	initialRetryDelay = 100 * time.Millisecond
	// outageWindow is the time after an error within which a removed entry is assumed to have
	// expired because the store was unavailable.
	outageWindow = 3 * time.Second
)

// Replica receives the content of a table and its changes.
type Replica interface {
	// Reset replaces the whole content. afterOutage means that a call to the store failed a few
	// seconds ago.
	Reset(rows []store.Row, afterOutage bool)
	// Change applies changes of rows.
	Change(changes []store.Change, afterOutage bool)
	// Confirm reports that the replica is current as of now.
	Confirm()
}

// Options configures a follower.
type Options struct {
	Watch  store.Watcher
	Table  string
	Logger *log.Logger
}

// follower holds the state of one Run.
type follower struct {
	Options
	replica     Replica
	version     int64 // -1 until the table has been read
	storeLost   bool
	lastFailure clock.Instant // time of the last error
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

// step reads the whole table, or waits for its next changes.
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

// afterOutage reports whether a call to the store failed within outageWindow.
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
