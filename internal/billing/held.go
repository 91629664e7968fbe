package billing

import (
	"context"
	"time"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/codec"
	"quaybarrow/internal/membership"
	"quaybarrow/internal/peer"
)

// ownerSilenceTimeout is the time without a message from an owner after which a holder checks
// whether the owner still runs.
const ownerSilenceTimeout = 10 * time.Second

// ownerKey identifies one incarnation of the host that owns the bills.
type ownerKey struct{ host, incarnation string }

// heldBills are the copies held for one owner; guarded by Ledger.mu.
type heldBills struct {
	address   string
	lastHeard clock.Instant // when the owner last sent a message or answered a ping
	bills     map[string]Bill
	ownerLost bool // this host is settling its bills
}

// Hold applies another host's message about its open bills. It returns peer.ErrRefused if
// this host lacks copies that the owner expects here, or if the ledger is at its limit.
func (l *Ledger) Hold(_ context.Context, message peer.Hold) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := ownerKey{message.Owner, message.Incarnation}
	h, ok := l.held[key]
	if !ok {
		if message.Known > 0 {
			return peer.ErrRefused
		}
		h = &heldBills{bills: map[string]Bill{}}
	}
	if l.sizeLocked()+len(message.Open) > l.options.Limit {
		return peer.ErrRefused
	}
	h.address, h.lastHeard, h.ownerLost = message.Address, clock.Now(), false
	for _, id := range message.Closed {
		delete(h.bills, id)
	}
	for _, data := range message.Open {
		bill, err := codec.Decode[Bill](data)
		if err != nil {
			return err
		}
		h.bills[bill.OpeningID] = bill
	}
	l.held[key] = h
	if len(h.bills) == 0 {
		delete(l.held, key)
	}
	return nil
}

// silentOwner is an owner that has sent no message for ownerSilenceTimeout.
type silentOwner struct {
	key     ownerKey
	address string
}

// takeOverLostOwners settles the bills of owners that no longer run.
func (l *Ledger) takeOverLostOwners(ctx context.Context) {
	for _, o := range l.silentOwners() {
		if l.isRunning(ctx, o.key, o.address) {
			l.markHeard(o.key)
			continue
		}
		l.takeOver(o.key)
	}
}

func (l *Ledger) silentOwners() []silentOwner {
	l.mu.Lock()
	defer l.mu.Unlock()
	var silent []silentOwner
	for key, h := range l.held {
		if clock.Since(h.lastHeard) >= ownerSilenceTimeout {
			silent = append(silent, silentOwner{key, h.address})
		}
	}
	return silent
}

// isRunning asks a host whether the given incarnation of it still runs.
func (l *Ledger) isRunning(ctx context.Context, key ownerKey, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	self := peer.Status{Host: l.options.Host, Incarnation: l.options.Incarnation, Address: l.options.Address}
	if member, ok := l.options.View().Member(l.options.Host); ok {
		self = member.Status
	}
	status, err := l.options.Link.Ping(ctx, address, self)
	return err == nil && status.Host == key.host && status.Incarnation == key.incarnation
}

func (l *Ledger) markHeard(key ownerKey) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if h := l.held[key]; h != nil {
		h.lastHeard = clock.Now()
	}
}

// takeOver makes the bills of a lost owner pending on this host. An open bill is settled as
// interrupted, with the last known usage.
func (l *Ledger) takeOver(key ownerKey) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.held[key]
	if h == nil {
		return
	}
	h.ownerLost = true
	for id, b := range h.bills {
		if b.State == StateOpen {
			b = b.WithState(StateInterrupted, time.Now().UTC())
		}
		l.pending[id] = b
	}
	l.wake.Notify()
}

// SweepIntents settles intents whose hosts no longer run. One host at a time runs it, though
// concurrent runs are harmless.
func (l *Ledger) SweepIntents(ctx context.Context) error {
	rows, err := l.options.Tables.Scan(ctx, intentRange)
	if err != nil {
		return err
	}
	runningByOwner := map[ownerKey]bool{}
	for _, row := range rows {
		b, err := codec.Decode[Bill](row.Value)
		if err != nil || time.Since(b.Opened) < ownerSilenceTimeout {
			continue
		}
		key := ownerKey{b.Host, b.Incarnation}
		running, checked := runningByOwner[key]
		if !checked {
			running = l.MayBeRunning(ctx, key.host, key.incarnation)
			runningByOwner[key] = running
		}
		if !running {
			l.takeOverIntent(b)
		}
	}
	return nil
}

// MayBeRunning reports whether an incarnation of a host may still run, as far as can be
// determined. A host that can't be asked because the membership lists it as suspect counts as
// running.
func (l *Ledger) MayBeRunning(ctx context.Context, host, incarnation string) bool {
	if host == l.options.Host {
		return incarnation == l.options.Incarnation
	}
	m, ok := l.options.View().Member(host)
	if !ok {
		return false
	}
	return m.State == membership.StateSuspect || l.isRunning(ctx, ownerKey{host, incarnation}, m.Address)
}

func (l *Ledger) takeOverIntent(b Bill) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.pending[b.OpeningID]; !ok {
		l.pending[b.OpeningID] = b.WithState(StateInterrupted, time.Now().UTC())
	}
	l.wake.Notify()
}
