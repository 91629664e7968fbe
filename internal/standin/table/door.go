package table

import (
	"context"
	"sync/atomic"

	"quaybarrow/internal/platform"
)

// Door is one host's way to the store, which can be cut; it implements the
// ports.
type Door struct {
	store *Store
	cut   atomic.Bool
}

// NewDoor returns a door to a store.
func NewDoor(store *Store) *Door { return &Door{store: store} }

// Cut closes the door to every call, or opens it again.
func (d *Door) Cut(on bool) { d.cut.Store(on) }

func (d *Door) check() error {
	if d.cut.Load() {
		return platform.ErrUnavailable
	}
	return nil
}

// Get implements platform.Tables.
func (d *Door) Get(ctx context.Context, table, key string) (platform.Row, error) {
	if err := d.check(); err != nil {
		return platform.Row{}, err
	}
	return d.store.Get(ctx, table, key)
}

// Scan implements platform.Tables.
func (d *Door) Scan(ctx context.Context, r platform.Range) ([]platform.Row, error) {
	if err := d.check(); err != nil {
		return nil, err
	}
	return d.store.Scan(ctx, r)
}

// Commit implements platform.Tables.
func (d *Door) Commit(ctx context.Context, txn platform.Transaction) error {
	if err := d.check(); err != nil {
		return err
	}
	return d.store.Commit(ctx, txn)
}

// List implements platform.Hosts.
func (d *Door) List(ctx context.Context) ([]platform.Host, error) {
	if err := d.check(); err != nil {
		return nil, err
	}
	return d.store.List(ctx)
}

// After implements platform.Ratings.
func (d *Door) After(ctx context.Context, sequence int64, limit int) ([]platform.Rating, error) {
	if err := d.check(); err != nil {
		return nil, err
	}
	return d.store.After(ctx, sequence, limit)
}
