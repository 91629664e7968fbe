package table

import (
	"context"
	"sync"
	"sync/atomic"

	"quaybarrow/internal/store"
)

// Door is one host's way to the store, which can be cut; it implements the
// ports.
type Door struct {
	store *Store
	cut   atomic.Bool

	mu     sync.Mutex    // guards frozen
	frozen chan struct{} // calls wait until it is closed; nil when not frozen
}

// NewDoor returns a door to a store.
func NewDoor(store *Store) *Door { return &Door{store: store} }

// Freeze makes every call wait, as those of a paused host do, or lets them go
// on.
func (d *Door) Freeze(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case on && d.frozen == nil:
		d.frozen = make(chan struct{})
	case !on && d.frozen != nil:
		close(d.frozen)
		d.frozen = nil
	}
}

// Cut closes the door to every call, or opens it again.
func (d *Door) Cut(on bool) { d.cut.Store(on) }

// check waits while the door is frozen. What was called before a pause still
// goes through after it, however late.
func (d *Door) check() error {
	d.mu.Lock()
	frozen := d.frozen
	d.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
	if d.cut.Load() {
		return store.ErrUnavailable
	}
	return nil
}

// Get implements store.Tables.
func (d *Door) Get(ctx context.Context, table, key string) (store.Row, error) {
	if err := d.check(); err != nil {
		return store.Row{}, err
	}
	return d.store.Get(ctx, table, key)
}

// Scan implements store.Tables.
func (d *Door) Scan(ctx context.Context, r store.Range) ([]store.Row, error) {
	if err := d.check(); err != nil {
		return nil, err
	}
	return d.store.Scan(ctx, r)
}

// Commit implements store.Tables.
func (d *Door) Commit(ctx context.Context, txn store.Transaction) error {
	if err := d.check(); err != nil {
		return err
	}
	return d.store.Commit(ctx, txn)
}

// List implements store.Hosts.
func (d *Door) List(ctx context.Context) ([]store.Host, error) {
	if err := d.check(); err != nil {
		return nil, err
	}
	return d.store.List(ctx)
}

// After implements store.Ratings.
func (d *Door) After(ctx context.Context, sequence int64, limit int) ([]store.Rating, error) {
	if err := d.check(); err != nil {
		return nil, err
	}
	return d.store.After(ctx, sequence, limit)
}
