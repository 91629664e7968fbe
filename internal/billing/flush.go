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

// Limits of writes to the table service.
const (
	flushTimeout       = 3 * time.Second
	minBackoff         = 500 * time.Millisecond
	maxBackoff         = 8 * time.Second
	maxIntentsPerSweep = 1000 // rows read by one sweep
)

// intentRange selects the intents read by one sweep.
var intentRange = store.Range{Table: TableIntents, Limit: maxIntentsPerSweep}

// Run writes bills, sends updates to holders and settles the bills of lost hosts,
// until the context is done.
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

// flushLoop writes pending bills in batches. While the table service is unavailable, it backs
// off with jitter, so that a recovering service is not overloaded.
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
			l.wake.Notify()
			continue
		}
		backoff = 0
	}
}

// Flush writes all pending bills and deletes stale intents, in batches.
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

// nextBatch returns some pending bills and stale intents. They stay in the ledger
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

// flushBatch writes bills in one transaction. If the transaction conflicts because some
// requests are billed already, it writes the bills one by one.
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

// newTransaction returns a transaction that writes bills only if absent and deletes their intents
// and the stale ones.
func newTransaction(bills []Bill, staleIntents []string) (store.Transaction, error) {
	var txn store.Transaction
	seen := map[string]bool{}
	for _, b := range bills {
		if b.Intent {
			txn.Writes = append(txn.Writes, store.Delete(TableIntents, b.OpeningID))
		}
		if seen[b.RequestID] {
			continue // another bill of the same request, which is billed once
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

// writeBill writes one bill, unless the request is billed already.
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

// resolveConflict replaces an interrupted bill with the same OpeningID by the final one. Any
// other existing bill is kept, and only the intent is deleted.
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

// Drain writes all bills before the host stops. If the table service is unavailable, it makes
// sure that holders have the final bills, so that they write them instead. The error tells
// how many bills have an up-to-date copy on no other host.
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
			return errors.Errorf("%d bills have no up-to-date copy on another host", l.unreplicatedCount())
		}
	}
}

// unreplicatedCount returns the number of own pending bills of which no other host has the final
// state.
func (l *Ledger) unreplicatedCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for id := range l.pending {
		e := l.open[id]
		if e == nil {
			continue // taken over from another host: the other holder has a copy too
		}
		e.mu.Lock()
		if len(e.holders) == 0 || e.dirty {
			count++
		}
		e.mu.Unlock()
	}
	return count
}
