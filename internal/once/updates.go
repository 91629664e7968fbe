package once

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/codec"
	"quaybarrow/internal/store"
)

// Timeout and retry delays of claim updates.
const (
	updateTimeout = 2 * time.Second
	minRetryDelay = 500 * time.Millisecond
	maxRetryDelay = 8 * time.Second
)

func (g *Guard) enqueue(update claimUpdate) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pending = append(g.pending, update)
}

// PendingUpdates returns the number of claim updates not yet written to the table service.
func (g *Guard) PendingUpdates() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.pending)
}

func (g *Guard) queueFull() bool { return g.PendingUpdates() >= g.options.Limit }

// Run writes pending updates until the context is done.
func (g *Guard) Run(ctx context.Context) {
	delay := minRetryDelay
	for {
		if !clock.Sleep(ctx, clock.Jitter(delay)) {
			return
		}
		if err := g.Flush(ctx); err != nil {
			delay = min(delay*2, maxRetryDelay)
			continue
		}
		delay = minRetryDelay
	}
}

// Flush tries to write each pending update once. It returns the last error.
func (g *Guard) Flush(ctx context.Context) error {
	g.mu.Lock()
	updates := g.pending
	g.pending = nil
	g.mu.Unlock()
	var lastErr error
	for _, update := range updates {
		limited, cancel := context.WithTimeout(ctx, updateTimeout)
		err := g.applyUpdate(limited, update)
		cancel()
		if err != nil {
			lastErr = err
			g.enqueue(update)
		}
	}
	return lastErr
}

// applyUpdate writes one update. It changes only a claim with the same token, so it can be
// repeated safely, for instance after a lost reply.
func (g *Guard) applyUpdate(ctx context.Context, update claimUpdate) error {
	current, row, err := g.read(ctx, update.key)
	if errors.Is(err, store.ErrNotFound) {
		if !update.remove {
			return errors.WithMessage(store.ErrUnavailable, "claim row does not exist yet")
		}
		// A write of the claim may still be in flight. A tombstone would be worse than
		// waiting, because the caller may repeat a call that did not run.
		if time.Since(update.claim.At) < maxClaimWriteDelay {
			return errors.WithMessage(store.ErrUnavailable, "a delayed write of the claim may still arrive")
		}
		return nil
	}
	if err != nil {
		return err
	}
	if current.Token != update.claim.Token || current.State != StateClaimed {
		return nil
	}
	txn := store.Transaction{Conditions: []store.Condition{store.AtVersion(TableClaims, row)}}
	if update.remove {
		txn.Writes = []store.Write{store.Delete(TableClaims, update.key)}
		return g.options.Tables.Commit(ctx, txn)
	}
	data, err := codec.Encode(update.claim)
	if err != nil {
		return err
	}
	txn.Writes = []store.Write{store.Put(TableClaims, update.key, data)}
	return g.options.Tables.Commit(ctx, txn)
}

// maxClaimWriteDelay is how long the write of a claim whose reply was lost may be delayed.
const maxClaimWriteDelay = 10 * time.Second
