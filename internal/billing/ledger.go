package billing

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"

	"quaybarrow/internal/batch"
	"quaybarrow/internal/codec"
	"quaybarrow/internal/membership"
	"quaybarrow/internal/peer"
	"quaybarrow/internal/store"
	"quaybarrow/internal/wake"
)

// copiesPerBill is how many other hosts hold an open bill.
const copiesPerBill = 2

// Options set up a Ledger.
type Options struct {
	Tables      store.Tables
	Link        peer.Link
	View        func() membership.View
	Host        string
	Incarnation string
	Address     string        // this host's, for peers
	Limit       int           // most bills kept here, own and held
	Settle      time.Duration // longest wait of a finished bill
	Keepalive   time.Duration // period of messages to holders
}

// Ledger is a host's bills that the table does not have yet.
type Ledger struct {
	options Options
	intents *batch.Batcher[Bill]

	mu           sync.Mutex // guards all below
	open         map[string]*Entry
	pending      map[string]Bill // settled, not yet in the table; by Copy
	staleIntents []string        // intents to delete: their request did not run
	holders      map[string]*holder
	held         map[ownerKey]*heldBills
	wake         wake.Signal // tells Run that a bill is pending
}

// New returns an empty ledger.
func New(options Options) *Ledger {
	l := &Ledger{
		options: options,
		open:    map[string]*Entry{},
		pending: map[string]Bill{},
		holders: map[string]*holder{},
		held:    map[ownerKey]*heldBills{},
		wake:    wake.NewSignal(),
	}
	l.intents = batch.New(maxBatch, l.writeIntents)
	return l
}

// Open keeps a bill in a second place before its request runs.
func (l *Ledger) Open(ctx context.Context, bill Bill) (*Entry, error) {
	bill.OpeningID = uuid.NewString()
	bill.Host, bill.Incarnation = l.options.Host, l.options.Incarnation
	bill.State, bill.Opened = StateOpen, time.Now().UTC()
	e := &Entry{ledger: l, bill: bill}
	if !l.addEntry(e) {
		return nil, ErrFull
	}
	if err := l.makeDurable(ctx, e); err != nil {
		e.Void()
		return nil, err
	}
	return e, nil
}

// addEntry adds an entry unless the ledger is at its bound.
func (l *Ledger) addEntry(e *Entry) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sizeLocked() >= l.options.Limit {
		return false
	}
	l.open[e.bill.OpeningID] = e
	return true
}

// makeDurable copies the open bill to two hosts, or writes its intent, or, with the
// table away, makes do with one copy.
func (l *Ledger) makeDurable(ctx context.Context, e *Entry) error {
	copied := l.replicate(ctx, e)
	if copied >= copiesPerBill {
		return nil
	}
	e.update(func() { // before the write: a lost reply may hide a row
		e.bill.Intent, e.dirty = true, true
	})
	err := l.intents.Do(ctx, e.Bill())
	if err == nil || copied > 0 {
		return nil
	}
	return fmt.Errorf("%w: %w", ErrNotReplicated, err)
}

// writeIntents puts open bills into the table, all in one transaction.
func (l *Ledger) writeIntents(ctx context.Context, bills []Bill) error {
	var txn store.Transaction
	for _, b := range bills {
		data, err := codec.Encode(b)
		if err != nil {
			return err
		}
		txn.Writes = append(txn.Writes, store.Put(TableIntents, b.OpeningID, data))
	}
	if err := l.options.Tables.Commit(ctx, txn); err != nil {
		return fmt.Errorf("write intents: %w", err)
	}
	return nil
}

// Size counts the bills kept here: own open, settled, held for others.
func (l *Ledger) Size() (open, pending, held int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open) - l.ownPendingLocked(), len(l.pending), l.heldCountLocked()
}

// ownPendingLocked counts entries that are settled; the caller holds mu.
func (l *Ledger) ownPendingLocked() int {
	count := 0
	for id := range l.pending {
		if _, ok := l.open[id]; ok {
			count++
		}
	}
	return count
}

func (l *Ledger) heldCountLocked() int {
	count := 0
	for _, h := range l.held {
		count += len(h.bills)
	}
	return count
}

// sizeLocked counts everything kept; the caller holds mu.
func (l *Ledger) sizeLocked() int { return len(l.open) + len(l.pending) + l.heldCountLocked() }
