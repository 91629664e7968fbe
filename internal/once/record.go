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
	recordTimeout = 2 * time.Second
	minRetry      = 500 * time.Millisecond
	maxRetry      = 8 * time.Second
)

func (g *Guard) keep(r record) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waiting = append(g.waiting, r)
}

// PendingUpdates counts the ends that the table does not have yet.
func (g *Guard) PendingUpdates() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.waiting)
}

func (g *Guard) full() bool { return g.PendingUpdates() >= g.options.Limit }

// Run records what waits, until the context ends.
func (g *Guard) Run(ctx context.Context) {
	wait := minRetry
	for {
		if !clock.Sleep(ctx, clock.Jitter(wait)) {
			return
		}
		if err := g.Flush(ctx); err != nil {
			wait = min(wait*2, maxRetry)
			continue
		}
		wait = minRetry
	}
}

// Flush tries every record that waits once; the error is the last one's.
func (g *Guard) Flush(ctx context.Context) error {
	g.mu.Lock()
	waiting := g.waiting
	g.waiting = nil
	g.mu.Unlock()
	var failed error
	for _, r := range waiting {
		limited, cancel := context.WithTimeout(ctx, recordTimeout)
		err := g.write(limited, r)
		cancel()
		if err != nil {
			failed = err
			g.keep(r)
		}
	}
	return failed
}

// write records one end. Only a claim with the same token is touched, so a lost
// reply and a second try do no harm.
func (g *Guard) write(ctx context.Context, r record) error {
	current, row, err := g.read(ctx, r.key)
	if errors.Is(err, store.ErrNotFound) {
		if !r.drop {
			return errors.WithMessage(store.ErrUnavailable, "claim is not there yet")
		}
		// A write of the claim may still be on its way; a tombstone would be
		// worse, as the caller may repeat a call that did not run.
		if time.Since(r.claim.At) < dropAfter {
			return errors.WithMessage(store.ErrUnavailable, "claim may still come")
		}
		return nil
	}
	if err != nil {
		return err
	}
	if current.Token != r.claim.Token || current.State != StateClaimed {
		return nil
	}
	txn := store.Transaction{Conditions: []store.Condition{store.AtVersion(TableClaims, row)}}
	if r.drop {
		txn.Writes = []store.Write{store.Delete(TableClaims, r.key)}
		return g.options.Tables.Commit(ctx, txn)
	}
	data, err := codec.Encode(r.claim)
	if err != nil {
		return err
	}
	txn.Writes = []store.Write{store.Put(TableClaims, r.key, data)}
	return g.options.Tables.Commit(ctx, txn)
}

// dropAfter is how long a claim whose reply was lost may take to arrive.
const dropAfter = 10 * time.Second
