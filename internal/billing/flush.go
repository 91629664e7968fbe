package billing

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/pkg/errors"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/codec"
	"quaybarrow/internal/store"
)

// Limits of writing to the table.
const (
	flushTimeout       = 3 * time.Second
	minBackoff         = 500 * time.Millisecond
	maxBackoff         = 8 * time.Second
	maxIntentsPerSweep = 1000 // rows of one sweep
)

// intentRange selects the intents of one sweep.
var intentRange = store.Range{Table: TableIntents, Limit: maxIntentsPerSweep}

// Run writes bills, keeps holders told and settles the bills of lost hosts,
// until the context ends.
func (l *Ledger) Run(ctx context.Context) {
	var wait sync.WaitGroup
	wait.Go(func() { l.flushLoop(ctx) })
	wait.Go(func() {
		for clock.Sleep(ctx, l.options.Keepalive) {
			l.syncHolders(ctx)
			l.takeOverLostOwners(ctx)
		}
	})
	wait.Wait()
}

// flushLoop writes pending bills, several at once, and backs off with jitter
// while the table is away, so that a recovering one is not stormed.
func (l *Ledger) flushLoop(ctx context.Context) {
	backoff := time.Duration(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		}
		if !clock.Sleep(ctx, clock.Jitter(max(l.options.Settle, backoff))) {
			return
		}
		if err := l.Flush(ctx); err != nil {
			backoff = min(max(backoff*2, minBackoff), maxBackoff)
			l.wake.Poke()
			continue
		}
		backoff = 0
	}
}

// Flush writes everything that is pending now, in batches.
func (l *Ledger) Flush(ctx context.Context) error {
	for {
		bills, staleIntents := l.nextBatch()
		if len(bills) == 0 && len(staleIntents) == 0 {
			return nil
		}
		if err := l.flushBatch(ctx, bills, staleIntents); err != nil {
			return err
		}
	}
}

// nextBatch returns some pending bills and stray intents; they stay in the ledger
// until they are written.
func (l *Ledger) nextBatch() ([]Bill, []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	bills := make([]Bill, 0, min(len(l.pending), maxBatch))
	for _, b := range l.pending {
		if len(bills) == maxBatch {
			break
		}
		bills = append(bills, b)
	}
	sort.Slice(bills, func(i, j int) bool { return bills[i].OpeningID < bills[j].OpeningID })
	staleIntents := l.staleIntents[:min(len(l.staleIntents), maxBatch)]
	return bills, append([]string(nil), staleIntents...)
}

// flushBatch writes bills in one transaction; when some were billed before, one
// by one.
func (l *Ledger) flushBatch(ctx context.Context, bills []Bill, staleIntents []string) error {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	txn, err := newTransaction(bills, staleIntents)
	if err != nil {
		return err
	}
	err = l.options.Tables.Commit(ctx, txn)
	switch {
	case err == nil:
	case errors.Is(err, store.ErrConflict):
		for _, b := range bills {
			if err := l.writeBill(ctx, b); err != nil {
				return err
			}
		}
		return nil
	default:
		return err
	}
	l.removeStaleIntents(staleIntents)
	for _, b := range bills {
		l.forgetBill(b.OpeningID)
	}
	return nil
}

// newTransaction writes bills only if absent and removes their intents.
func newTransaction(bills []Bill, staleIntents []string) (store.Transaction, error) {
	var txn store.Transaction
	seen := map[string]bool{}
	for _, b := range bills {
		if b.Intent {
			txn.Writes = append(txn.Writes, store.Delete(TableIntents, b.OpeningID))
		}
		if seen[b.RequestID] {
			continue // a repeat of the same request: billed once
		}
		seen[b.RequestID] = true
		data, err := codec.Encode(b)
		if err != nil {
			return store.Transaction{}, err
		}
		txn.Conditions = append(txn.Conditions, store.Absent(TableBills, b.RequestID))
		txn.Writes = append(txn.Writes, store.Put(TableBills, b.RequestID, data))
	}
	for _, id := range staleIntents {
		txn.Writes = append(txn.Writes, store.Delete(TableIntents, id))
	}
	return txn, nil
}

// writeBill writes one bill, or finds that the request is billed already.
func (l *Ledger) writeBill(ctx context.Context, b Bill) error {
	txn, err := newTransaction([]Bill{b}, nil)
	if err != nil {
		return err
	}
	err = l.options.Tables.Commit(ctx, txn)
	if errors.Is(err, store.ErrConflict) {
		err = l.resolveConflict(ctx, b, txn)
	}
	if err != nil {
		return err
	}
	l.forgetBill(b.OpeningID)
	return nil
}

// resolveConflict replaces an interrupted bill of the same opening by its final word; any
// other bill in the table stands, and only the intent goes.
func (l *Ledger) resolveConflict(ctx context.Context, b Bill, txn store.Transaction) error {
	row, err := l.options.Tables.Get(ctx, TableBills, b.RequestID)
	if err != nil {
		return err
	}
	existing, err := codec.Decode[Bill](row.Value)
	if err != nil {
		return err
	}
	txn.Conditions = []store.Condition{store.AtVersion(TableBills, row)}
	if !b.Replaces(existing) {
		if !b.Intent {
			return nil
		}
		txn.Writes = []store.Write{store.Delete(TableIntents, b.OpeningID)}
	}
	return l.options.Tables.Commit(ctx, txn)
}

func (l *Ledger) removeStaleIntents(done []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.staleIntents = l.staleIntents[len(done):]
}

// Drain writes all bills before a stop. While the table is away it makes sure
// that the holders have the final words, so that they settle them instead; the
// error says how many have no second place.
func (l *Ledger) Drain(ctx context.Context) error {
	for {
		if err := l.Flush(ctx); err == nil {
			return nil
		}
		l.syncHolders(ctx)
		if count := l.unreplicatedCount(); count == 0 {
			return nil
		}
		if !clock.Sleep(ctx, minBackoff) {
			return errors.Errorf("%d bills have no second place", l.unreplicatedCount())
		}
	}
}

// unreplicatedCount counts pending bills that nobody else has in their final state.
func (l *Ledger) unreplicatedCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for id := range l.pending {
		e := l.open[id]
		if e == nil {
			continue // adopted: its other holder has it too
		}
		e.mu.Lock()
		if len(e.holders) == 0 || e.dirty {
			count++
		}
		e.mu.Unlock()
	}
	return count
}
