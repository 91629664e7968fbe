package once

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/codec"
	"quaybarrow/internal/store"
)

// Times of recording ends of claims.
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

// PendingUpdates counts the ends that the table does not have yet.
func (g *Guard) PendingUpdates() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.pending)
}

func (g *Guard) queueFull() bool { return g.PendingUpdates() >= g.options.Limit }

// Run records what waits, until the context ends.
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

// Flush tries every record that waits once; the error is the last one's.
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

// applyUpdate records one end. Only a claim with the same token is touched, so a lost
// reply and a second try do no harm.
func (g *Guard) applyUpdate(ctx context.Context, update claimUpdate) error {
	current, row, err := g.read(ctx, update.key)
	if errors.Is(err, store.ErrNotFound) {
		if !update.remove {
			return errors.WithMessage(store.ErrUnavailable, "claim is not there yet")
		}
		// A write of the claim may still be on its way; a tombstone would be
		// worse, as the caller may repeat a call that did not run.
		if time.Since(update.claim.At) < maxClaimWriteDelay {
			return errors.WithMessage(store.ErrUnavailable, "claim may still come")
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

// maxClaimWriteDelay is how long a claim whose reply was lost may take to arrive.
const maxClaimWriteDelay = 10 * time.Second
