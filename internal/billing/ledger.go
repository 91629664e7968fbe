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

// copiesPerBill is the number of other hosts that hold a copy of an open bill.
const copiesPerBill = 2

// Options configure a Ledger.
type Options struct {
	Tables      store.Tables
	Link        peer.Link
	View        func() membership.View
	Host        string
	Incarnation string
	Address     string        // this host's address for peers
	Limit       int           // maximum number of bills in memory, own and held for other hosts
	Settle      time.Duration // maximum delay before a finished bill is written
	Keepalive   time.Duration // interval of messages to holders
}

// Ledger holds a host's bills that are not yet in the table service, and copies of other hosts'
// bills.
type Ledger struct {
	options Options
	intents *batch.Batcher[Bill]

	mu           sync.Mutex // guards the fields below
	open         map[string]*Entry
	pending      map[string]Bill // settled, not yet in the table service; by OpeningID
	staleIntents []string        // intents to delete, because their requests did not run
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

// Open stores a bill on other hosts or in the table service before its request runs.
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

// addEntry adds an entry unless the ledger is at its limit.
func (l *Ledger) addEntry(e *Entry) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sizeLocked() >= l.options.Limit {
		return false
	}
	l.open[e.bill.OpeningID] = e
	return true
}

// makeDurable copies the open bill to two hosts. If fewer hold a copy, it writes an intent to
// the table service; if that fails too, one copy is sufficient.
func (l *Ledger) makeDurable(ctx context.Context, e *Entry) error {
	copied := l.replicate(ctx, e)
	if copied >= copiesPerBill {
		return nil
	}
	e.update(func() { // set before the write, which may succeed although its reply is lost
		e.bill.Intent, e.dirty = true, true
	})
	err := l.intents.Do(ctx, e.Bill())
	if err == nil || copied > 0 {
		return nil
	}
	return fmt.Errorf("%w: %w", ErrNotReplicated, err)
}

// writeIntents writes open bills as intents to the table service, all in one transaction.
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

// Size returns the numbers of bills in memory: own open ones, settled ones not yet written, and
// copies held for other hosts.
func (l *Ledger) Size() (open, pending, held int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open) - l.ownPendingLocked(), len(l.pending), l.heldCountLocked()
}

// ownPendingLocked returns the number of this host's own pending bills; the caller holds mu.
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

// sizeLocked returns the number of all bills in memory; the caller holds mu.
func (l *Ledger) sizeLocked() int { return len(l.open) + len(l.pending) + l.heldCountLocked() }
