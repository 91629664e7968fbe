package billing

import (
	"sync"
	"time"
)

// Entry is an open bill of this host.
type Entry struct {
	ledger *Ledger

	mu      sync.Mutex // guards all below
	bill    Bill
	dirty   bool     // holders have an older state
	holders []string // hosts that hold a copy
	closed  bool
}

// update changes an entry under its lock.
func (e *Entry) update(change func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change()
}

// Bill returns the bill as it stands.
func (e *Entry) Bill() Bill {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.bill
}

// Progress notes what was used so far, for whoever may have to settle.
func (e *Entry) Progress(u Usage) {
	e.update(func() {
		e.bill = e.bill.WithUsage(u)
		e.dirty = true
	})
}

// Retarget notes the version that the request runs on now.
func (e *Entry) Retarget(subject string) {
	e.update(func() {
		e.bill = e.bill.WithSubject(subject)
		e.dirty = true
	})
}

// Settle ends the bill with its usage and returns the final bill. The ledger
// writes it before long; calls after the first change nothing.
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
	l.wake.Poke()
	return bill
}

// Void ends the bill of a request that certainly did not run.
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
	l.wake.Poke()
}

// forgetBill forgets a bill that needs nothing more, and has its holders told.
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
