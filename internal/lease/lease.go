// Package lease ensures that a duty is done by one host at a time, with leases that are stored in
// rows of the table service and fenced by epochs.
//
// # Usage
//
//	manager := lease.NewManager(options)
//	go manager.Run(ctx, "sweep-bills", func(ctx context.Context, l *lease.Lease) {
//		for l.Valid() { ... tables.Commit(ctx, l.Fenced(txn)) ... }
//	})
//
// No host's wall clock is trusted. A host may acquire a lease once it has seen the lease's row
// unchanged for the lease's whole length, by its own monotonic clock. The holder counts from before
// it sent the renewal and stops a guard time earlier, so it has stopped before another host can
// start. A holder that was paused may still act late; its writes carry a condition on the fence row,
// and its orders carry the epoch, so both are rejected once another host holds the lease.
//
// A released lease can be acquired at once. Actions that can't be fenced, such as calls to a
// service that ignores the epoch, must wait for UnfencedWait: otherwise two hosts that hand a lease
// back and forth act alternately.
package lease

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/codec"
	"quaybarrow/internal/store"
	"quaybarrow/internal/wake"
)

// Tables in which leases are stored.
const (
	tableLease = "lease" // renewed often
	tableFence = "fence" // written only when the lease changes hands
)

// Divisors of a lease's length.
const (
	renewDivisor = 3 // a lease is renewed every third of its length
	guardDivisor = 5 // the holder stops a fifth of the length early
)

// ErrHeld means that another host holds the lease, or may still hold it.
var ErrHeld = errors.New("lease is held by another host")

// record is the stored state of a lease.
type record struct {
	Holder      string `json:"holder"`
	Incarnation string `json:"incarnation"`
	Epoch       int64  `json:"epoch"`
	Renewals    int64  `json:"beat"` // number of renewals in this epoch
	Released    bool   `json:"released,omitempty"`
}

// Lease is a lease held by this host, from its acquisition until it expires or is released.
type Lease struct {
	name  string
	epoch int64
	fence store.Row

	unfencedFrom clock.Instant // when actions that are not fenced may start

	mu       sync.Mutex    // guards the fields below
	expires  clock.Instant // by the holder's own monotonic clock
	renewals int64
}

// Epoch returns the fencing epoch, which increases with each acquisition.
func (l *Lease) Epoch() int64 { return l.epoch }

// Valid reports whether the holder may still act.
func (l *Lease) Valid() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return clock.Now().Before(l.expires)
}

// Remaining returns how long the lease stays valid without renewal.
func (l *Lease) Remaining() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return clock.Until(l.expires)
}

// UnfencedWait returns how long the holder must still wait before actions that are not fenced; 0 or
// less if it need not wait.
func (l *Lease) UnfencedWait() time.Duration { return clock.Until(l.unfencedFrom) }

// Fenced adds the condition that no other host has acquired the lease since.
func (l *Lease) Fenced(txn store.Transaction) store.Transaction {
	conditions := slices.Clone(txn.Conditions)
	conditions = append(conditions, store.AtVersion(tableFence, l.fence))
	txn.Conditions = conditions
	return txn
}

// Options set up a Manager.
type Options struct {
	Tables      store.Tables
	Host        string
	Incarnation string
	Length      time.Duration
	// AssignedHost returns the host that should do a duty; nil means any host.
	AssignedHost func(duty string) string
	// Rank returns how many hosts come before this one in the order of acquiring a lease, if that
	// is known; nil if hosts have no order. Hosts of higher rank check a lease less often, since
	// each check is a call to the store.
	Rank func() (place int, known bool)
	// HandoverDelay is the time for which the holder of a lease that another host released must
	// not do anything that is not fenced, so that hosts do not act alternately within that time.
	HandoverDelay time.Duration
}

// observation is the version of a lease row and since when it has been seen unchanged.
type observation struct {
	version int64
	since   clock.Instant
}

// Manager acquires and renews leases for one host.
type Manager struct {
	options Options

	checkSignal wake.Signal // wakes Run to check its lease at once

	mu       sync.Mutex // guards observed
	observed map[string]observation
}

// NewManager returns a manager that holds no leases.
func NewManager(options Options) *Manager {
	return &Manager{options: options, checkSignal: wake.NewSignal(), observed: map[string]observation{}}
}

// CheckNow makes the host check its leases at once, because one was released.
func (m *Manager) CheckNow() { m.checkSignal.Notify() }

// Acquire acquires a lease, or returns ErrHeld.
func (m *Manager) Acquire(ctx context.Context, name string) (*Lease, error) {
	current, tableRow, err := m.read(ctx, name)
	if err != nil {
		return nil, err
	}
	if !m.available(name, current, tableRow) {
		return nil, ErrHeld
	}
	next := record{Holder: m.options.Host, Incarnation: m.options.Incarnation, Epoch: current.Epoch + 1}
	sent := clock.Now()
	if err := m.claim(ctx, name, tableRow, next); err != nil {
		return nil, err
	}
	fence, err := m.readFence(ctx, name, next.Epoch)
	if err != nil {
		return nil, err
	}
	l := &Lease{name: name, epoch: next.Epoch, fence: fence, expires: m.expiry(sent)}
	if current.Released {
		l.unfencedFrom = sent.Add(m.options.HandoverDelay)
	}
	return l, nil
}

// claim stores that this host holds a lease, unless its row has changed since it was read, for
// instance by a renewal.
func (m *Manager) claim(ctx context.Context, name string, at store.Row, next record) error {
	data, err := codec.Encode(next)
	if err != nil {
		return fmt.Errorf("acquire %s: %w", name, err)
	}
	err = m.options.Tables.Commit(ctx, store.Transaction{
		Conditions: []store.Condition{store.AtVersion(tableLease, at)},
		Writes:     []store.Write{store.Put(tableLease, name, data), store.Put(tableFence, name, data)},
	})
	switch {
	case err == nil:
		return nil
	case !store.Uncertain(err):
		return fmt.Errorf("acquire %s: %w", name, ErrHeld)
	}
	now, _, readErr := m.read(ctx, name)
	if readErr != nil {
		return fmt.Errorf("acquire %s: %w", name, err)
	}
	if now != next {
		return fmt.Errorf("acquire %s: %w", name, ErrHeld)
	}
	return nil
}

// readFence reads the row that is written only when the lease changes hands.
func (m *Manager) readFence(ctx context.Context, name string, epoch int64) (store.Row, error) {
	fence, err := m.options.Tables.Get(ctx, tableFence, name)
	if err != nil {
		return store.Row{}, fmt.Errorf("acquire %s: %w", name, err)
	}
	holder, err := codec.Decode[record](fence.Value)
	if err != nil {
		return store.Row{}, fmt.Errorf("acquire %s: %w", name, err)
	}
	if holder.Epoch != epoch || holder.Incarnation != m.options.Incarnation {
		return store.Row{}, ErrHeld
	}
	return fence, nil
}

// expiry returns when a holder must stop whose last successful write was sent at the given instant.
func (m *Manager) expiry(sent clock.Instant) clock.Instant {
	return sent.Add(m.options.Length - m.options.Length/guardDivisor)
}

// read returns the lease's record and row; the record is zero if there is none.
func (m *Manager) read(ctx context.Context, name string) (record, store.Row, error) {
	tableRow, err := m.options.Tables.Get(ctx, tableLease, name)
	if errors.Is(err, store.ErrNotFound) {
		return record{}, store.Row{Key: name}, nil
	}
	if err != nil {
		return record{}, store.Row{}, fmt.Errorf("read lease %s: %w", name, err)
	}
	current, err := codec.Decode[record](tableRow.Value)
	if err != nil {
		return record{}, store.Row{}, fmt.Errorf("read lease %s: %w", name, err)
	}
	return current, tableRow, nil
}

// available reports whether the lease may be acquired.
func (m *Manager) available(name string, current record, tableRow store.Row) bool {
	if tableRow.Version == 0 || current.Released {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	s, ok := m.observed[name]
	if !ok || s.version != tableRow.Version {
		m.observed[name] = observation{version: tableRow.Version, since: clock.Now()}
		return false
	}
	return clock.Since(s.since) >= m.options.Length
}

// writeRecord writes the lease's row unless another host has acquired the lease.
func (m *Manager) writeRecord(ctx context.Context, l *Lease, next record) error {
	data, err := codec.Encode(next)
	if err != nil {
		return fmt.Errorf("encode lease: %w", err)
	}
	return m.options.Tables.Commit(ctx, l.Fenced(store.Transaction{
		Writes: []store.Write{store.Put(tableLease, l.name, data)},
	}))
}

// Renew extends a lease. It returns ErrHeld if the lease was lost. Any other error leaves the lease
// as it was, and the caller may retry.
func (m *Manager) Renew(ctx context.Context, l *Lease) error {
	l.mu.Lock()
	l.renewals++
	next := record{Holder: m.options.Host, Incarnation: m.options.Incarnation, Epoch: l.epoch, Renewals: l.renewals}
	l.mu.Unlock()
	sent := clock.Now()
	err := m.writeRecord(ctx, l, next)
	if store.Uncertain(err) {
		// The write may have succeeded, so the current row is checked.
		now, _, readErr := m.read(ctx, l.name)
		switch {
		case readErr != nil:
			return fmt.Errorf("renew %s: %w", l.name, err)
		case now.Epoch != l.epoch || now.Incarnation != m.options.Incarnation || now.Released:
			err = store.ErrConflict
		case now.Renewals == next.Renewals:
			err = nil
		}
	}
	switch {
	case errors.Is(err, store.ErrConflict):
		l.invalidate()
		return fmt.Errorf("renew %s: %w", l.name, ErrHeld)
	case err != nil:
		return fmt.Errorf("renew %s: %w", l.name, err)
	}
	l.extend(m.expiry(sent))
	return nil
}

// extend moves the expiry to the given instant unless it is later already.
func (l *Lease) extend(until clock.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if until.After(l.expires) {
		l.expires = until
	}
}

// invalidate ends the lease on this host at once.
func (l *Lease) invalidate() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expires = clock.Instant{}
}

// Release gives up a lease, so that another host need not wait for it to expire.
func (m *Manager) Release(ctx context.Context, l *Lease) error {
	l.invalidate()
	next := record{Holder: m.options.Host, Incarnation: m.options.Incarnation, Epoch: l.epoch, Released: true}
	if err := m.writeRecord(ctx, l, next); err != nil {
		return fmt.Errorf("release %s: %w", l.name, err)
	}
	return nil
}
