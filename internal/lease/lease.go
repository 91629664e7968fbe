// Package lease guards duties that need one owner, with leases kept in rows of
// the table service and fenced by epochs.
//
// # Usage
//
//	manager := lease.NewManager(options)
//	go manager.Run(ctx, "sweep-bills", func(ctx context.Context, l *lease.Lease) {
//		for l.Valid() { ... tables.Commit(ctx, l.Fenced(txn)) ... }
//	})
//
// No host's wall clock is trusted. A lease may be taken once its row was seen
// unchanged for its whole length by the taker's own running clock. The holder
// counts from before it sent the renewal and stops a guard time earlier, so it
// has stopped before another can start. A holder that was paused may still act
// late; its writes carry a condition on the fence row, and its orders carry the
// epoch, so both are refused once another holds the lease.
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
)

// Tables of the leases.
const (
	tableLease = "lease" // renewed often
	tableFence = "fence" // written only when the lease changes hands
)

// Divisors of a lease's length.
const (
	renewDivisor = 3 // renewals per length
	guardDivisor = 5 // the holder stops this part of the length early
)

// ErrHeld means that another holds the lease, or may still hold it.
var ErrHeld = errors.New("lease is held by another")

// row is what the table says of a lease.
type row struct {
	Holder      string `json:"holder"`
	Incarnation string `json:"incarnation"`
	Epoch       int64  `json:"epoch"`
	Beat        int64  `json:"beat"` // counts renewals
	Released    bool   `json:"released,omitempty"`
}

// Lease is one holding of a lease.
type Lease struct {
	name  string
	epoch int64
	fence store.Row

	mu    sync.Mutex    // guards all below
	until clock.Instant // holder's own clock
	table store.Row
	beat  int64
}

// Epoch returns the fencing epoch; it grows with each holder.
func (l *Lease) Epoch() int64 { return l.epoch }

// Valid reports whether the holder may still act.
func (l *Lease) Valid() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return clock.Now().Before(l.until)
}

// Left returns how long the lease is still valid without renewal.
func (l *Lease) Left() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return clock.Until(l.until)
}

// Fenced adds the condition that nobody took the lease since.
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
	// Owner tells which host a duty is meant for; nil means any.
	Owner func(duty string) string
}

// sighting is a lease row and how long it has been seen unchanged.
type sighting struct {
	version int64
	since   clock.Instant
}

// Manager acquires and renews leases for one host.
type Manager struct {
	options Options

	mu   sync.Mutex // guards seen
	seen map[string]sighting
}

// NewManager returns a manager that holds nothing.
func NewManager(options Options) *Manager {
	return &Manager{options: options, seen: map[string]sighting{}}
}

// Acquire takes a lease, or returns ErrHeld.
func (m *Manager) Acquire(ctx context.Context, name string) (*Lease, error) {
	current, tableRow, err := m.read(ctx, name)
	if err != nil {
		return nil, err
	}
	if !m.free(name, current, tableRow) {
		return nil, ErrHeld
	}
	next := row{Holder: m.options.Host, Incarnation: m.options.Incarnation, Epoch: current.Epoch + 1}
	sent := clock.Now()
	if err := m.write(ctx, name, tableRow, next, true); err != nil {
		if !store.Uncertain(err) {
			return nil, fmt.Errorf("acquire %s: %w", name, ErrHeld)
		}
		if now, _, readErr := m.read(ctx, name); readErr != nil || now != next {
			return nil, fmt.Errorf("acquire %s: %w", name, err)
		}
	}
	return m.take(ctx, name, next, sent)
}

// take reads back what was written and makes the lease of it.
func (m *Manager) take(ctx context.Context, name string, mine row, sent clock.Instant) (*Lease, error) {
	now, tableRow, err := m.read(ctx, name)
	if err != nil {
		return nil, fmt.Errorf("acquire %s: %w", name, err)
	}
	if now != mine {
		return nil, ErrHeld
	}
	fence, err := m.options.Tables.Get(ctx, tableFence, name)
	if err != nil {
		return nil, fmt.Errorf("acquire %s: %w", name, err)
	}
	holder, err := codec.Decode[row](fence.Value)
	if err != nil {
		return nil, fmt.Errorf("acquire %s: %w", name, err)
	}
	if holder.Epoch != mine.Epoch {
		return nil, ErrHeld
	}
	return &Lease{name: name, epoch: mine.Epoch, fence: fence, until: m.until(sent), table: tableRow}, nil
}

// until is when a holder stops that last wrote at a moment.
func (m *Manager) until(sent clock.Instant) clock.Instant {
	return sent.Add(m.options.Length - m.options.Length/guardDivisor)
}

// read returns the lease's row; a zero one if there is none.
func (m *Manager) read(ctx context.Context, name string) (row, store.Row, error) {
	tableRow, err := m.options.Tables.Get(ctx, tableLease, name)
	if errors.Is(err, store.ErrNotFound) {
		return row{}, store.Row{Key: name}, nil
	}
	if err != nil {
		return row{}, store.Row{}, fmt.Errorf("read lease %s: %w", name, err)
	}
	current, err := codec.Decode[row](tableRow.Value)
	if err != nil {
		return row{}, store.Row{}, fmt.Errorf("read lease %s: %w", name, err)
	}
	return current, tableRow, nil
}

// free reports whether the lease may be taken.
func (m *Manager) free(name string, current row, tableRow store.Row) bool {
	if tableRow.Version == 0 || current.Released {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	s, ok := m.seen[name]
	if !ok || s.version != tableRow.Version {
		m.seen[name] = sighting{version: tableRow.Version, since: clock.Now()}
		return false
	}
	return clock.Since(s.since) >= m.options.Length
}

// write puts the lease's row, and the fence when the lease changes hands.
func (m *Manager) write(ctx context.Context, name string, at store.Row, next row, fence bool) error {
	data, err := codec.Encode(next)
	if err != nil {
		return err
	}
	txn := store.Transaction{
		Conditions: []store.Condition{store.AtVersion(tableLease, at)},
		Writes:     []store.Write{store.Put(tableLease, name, data)},
	}
	if fence {
		txn.Writes = append(txn.Writes, store.Put(tableFence, name, data))
	}
	return m.options.Tables.Commit(ctx, txn)
}

// Renew extends a lease; ErrHeld if it was lost. Any other error leaves it as
// it was, and renewing again is right.
func (m *Manager) Renew(ctx context.Context, l *Lease) error {
	l.mu.Lock()
	at, beat := l.table, l.beat+1
	l.mu.Unlock()
	next := row{Holder: m.options.Host, Incarnation: m.options.Incarnation, Epoch: l.epoch, Beat: beat}
	sent := clock.Now()
	if err := m.write(ctx, l.name, at, next, false); err != nil && !errors.Is(err, store.ErrConflict) {
		if !store.Uncertain(err) {
			return fmt.Errorf("renew %s: %w", l.name, err)
		}
	}
	now, tableRow, err := m.read(ctx, l.name)
	if err != nil {
		return fmt.Errorf("renew %s: %w", l.name, err)
	}
	if now.Epoch != l.epoch || now.Incarnation != m.options.Incarnation || now.Released {
		l.end()
		return ErrHeld
	}
	l.renewed(now, tableRow, beat, m.until(sent))
	return nil
}

// renewed notes what the table says; only this renewal's own beat extends.
func (l *Lease) renewed(now row, tableRow store.Row, beat int64, until clock.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table, l.beat = tableRow, now.Beat
	if now.Beat == beat && until.After(l.until) {
		l.until = until
	}
}

// end makes the lease invalid.
func (l *Lease) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.until = clock.Instant{}
}

// Release gives a lease up, so that another need not wait.
func (m *Manager) Release(ctx context.Context, l *Lease) error {
	l.mu.Lock()
	at := l.table
	l.mu.Unlock()
	l.end()
	next := row{Holder: m.options.Host, Incarnation: m.options.Incarnation, Epoch: l.epoch, Released: true}
	if err := m.write(ctx, l.name, at, next, false); err != nil {
		return fmt.Errorf("release %s: %w", l.name, err)
	}
	return nil
}
