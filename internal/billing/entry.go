package billing

import (
	"sync"
	"time"
)

// Entry is an open bill of this host.
type Entry struct {
	ledger *Ledger

	mu      sync.Mutex // guards the fields below
	bill    Bill
	dirty   bool     // the copies of the holders are out of date
	holders []string // hosts that hold a copy
	closed  bool
}

// update calls change with the lock of the entry held.
func (e *Entry) update(change func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change()
}

// Bill returns the current bill.
func (e *Entry) Bill() Bill {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.bill
}

// Progress records the usage so far, in case another host has to settle the bill.
func (e *Entry) Progress(u Usage) {
	e.update(func() {
		e.bill = e.bill.WithUsage(u)
		e.dirty = true
	})
}

// Retarget records the version on which the request runs now.
func (e *Entry) Retarget(subject string) {
	e.update(func() {
		e.bill = e.bill.WithSubject(subject)
		e.dirty = true
	})
}

// Settle closes the bill with its final usage and returns it. The ledger writes it soon
// afterwards (see Options.Settle). Calls after the first have no effect.
func (e *Entry) Settle(u Usage) Bill {
	e.mu.Lock()
	if e.closed {
		defer e.mu.Unlock()
		return e.bill
	}
	e.closed = true
	e.bill = e.bill.WithUsage(u).WithState(StateFinal, time.Now().UTC())
	e.dirty = true
	bill := e.bill
	e.mu.Unlock()
	l := e.ledger
	l.mu.Lock()
	l.pending[bill.OpeningID] = bill
	l.mu.Unlock()
	l.wake.Notify()
	return bill
}

// Void closes the bill of a request that certainly did not run, without writing a bill.
func (e *Entry) Void() {
	e.mu.Lock()
	wasClosed, intent, id := e.closed, e.bill.Intent, e.bill.OpeningID
	e.closed = true
	e.mu.Unlock()
	if wasClosed {
		return
	}
	l := e.ledger
	l.mu.Lock()
	if intent {
		l.staleIntents = append(l.staleIntents, id)
	}
	l.mu.Unlock()
	l.forgetBill(id)
	l.wake.Notify()
}

// forgetBill removes a completed bill and notifies its holders with the next message.
func (l *Ledger) forgetBill(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.open[id]
	delete(l.open, id)
	delete(l.pending, id)
	for key, h := range l.held {
		delete(h.bills, id)
		if len(h.bills) == 0 && h.ownerLost {
			delete(l.held, key)
		}
	}
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, name := range e.holders {
		if h := l.holders[name]; h != nil {
			h.closedIDs = append(h.closedIDs, id)
			h.expectedCopies--
		}
	}
}
