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
//
// Who takes a lease that was released does so at once. What can't be fenced, as calls to
// a service that ignores the epoch, has to wait for Rest: else a lease that is handed to and
// fro has two hosts act in turns.
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

	rests clock.Instant // what is not fenced begins then

	mu    sync.Mutex    // guards all below
	until clock.Instant // holder's own clock
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

// Rest is how long the holder still leaves undone what is not fenced; 0 or less for nothing.
func (l *Lease) Rest() time.Duration { return clock.Until(l.rests) }

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
	// Place is how many hosts come before this one in taking a lease, if that is known; nil for
	// none. Each looks less often than the one before it, since a look is a call to the store.
	Place func() (place int, known bool)
	// Turns is the time in which hosts must not act in turns where that is not fenced.
	Turns time.Duration
}

// sighting is a lease row and how long it has been seen unchanged.
type sighting struct {
	version int64
	since   clock.Instant
}

// Manager acquires and renews leases for one host.
type Manager struct {
	options Options

	look wake.Signal // a signal to look at leases at once

	mu   sync.Mutex // guards seen
	seen map[string]sighting
}

// NewManager returns a manager that holds nothing.
func NewManager(options Options) *Manager {
	return &Manager{options: options, look: wake.NewSignal(), seen: map[string]sighting{}}
}

// Look has the host look at its leases at once: one was released.
func (m *Manager) Look() { m.look.Notify() }

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
	if err := m.take(ctx, name, tableRow, next); err != nil {
		return nil, err
	}
	fence, err := m.fence(ctx, name, next.Epoch)
	if err != nil {
		return nil, err
	}
	l := &Lease{name: name, epoch: next.Epoch, fence: fence, until: m.until(sent)}
	if current.Released {
		l.rests = sent.Add(m.options.Turns)
	}
	return l, nil
}

// take writes that this host holds a lease, if its row is still as it was read: a renewal that
// came in between has changed it.
func (m *Manager) take(ctx context.Context, name string, at store.Row, next row) error {
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

// fence reads the row that changes only as the lease changes hands.
func (m *Manager) fence(ctx context.Context, name string, epoch int64) (store.Row, error) {
	fence, err := m.options.Tables.Get(ctx, tableFence, name)
	if err != nil {
		return store.Row{}, fmt.Errorf("acquire %s: %w", name, err)
	}
	holder, err := codec.Decode[row](fence.Value)
	if err != nil {
		return store.Row{}, fmt.Errorf("acquire %s: %w", name, err)
	}
	if holder.Epoch != epoch || holder.Incarnation != m.options.Incarnation {
		return store.Row{}, ErrHeld
	}
	return fence, nil
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

// write puts the lease's row as long as nobody took the lease.
func (m *Manager) write(ctx context.Context, l *Lease, next row) error {
	data, err := codec.Encode(next)
	if err != nil {
		return fmt.Errorf("encode lease: %w", err)
	}
	return m.options.Tables.Commit(ctx, l.Fenced(store.Transaction{
		Writes: []store.Write{store.Put(tableLease, l.name, data)},
	}))
}

// Renew extends a lease; ErrHeld if it was lost. Any
// other error leaves it as it was, and renewing again is right.
func (m *Manager) Renew(ctx context.Context, l *Lease) error {
	l.mu.Lock()
	l.beat++
	next := row{Holder: m.options.Host, Incarnation: m.options.Incarnation, Epoch: l.epoch, Beat: l.beat}
	l.mu.Unlock()
	sent := clock.Now()
	err := m.write(ctx, l, next)
	if store.Uncertain(err) {
		// It may be written: what the row says now tells.
		now, _, readErr := m.read(ctx, l.name)
		switch {
		case readErr != nil:
			return fmt.Errorf("renew %s: %w", l.name, err)
		case now.Epoch != l.epoch || now.Incarnation != m.options.Incarnation || now.Released:
			err = store.ErrConflict
		case now.Beat == next.Beat:
			err = nil
		}
	}
	switch {
	case errors.Is(err, store.ErrConflict):
		l.end()
		return fmt.Errorf("renew %s: %w", l.name, ErrHeld)
	case err != nil:
		return fmt.Errorf("renew %s: %w", l.name, err)
	}
	l.extend(m.until(sent))
	return nil
}

// extend has the lease last until a moment at least.
func (l *Lease) extend(until clock.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if until.After(l.until) {
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
	l.end()
	next := row{Holder: m.options.Host, Incarnation: m.options.Incarnation, Epoch: l.epoch, Released: true}
	if err := m.write(ctx, l, next); err != nil {
		return fmt.Errorf("release %s: %w", l.name, err)
	}
	return nil
}
