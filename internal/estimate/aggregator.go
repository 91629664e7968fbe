package estimate

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/codec"
	"quaybarrow/internal/declare"
	"quaybarrow/internal/lease"
	"quaybarrow/internal/store"
)

// Table and key under which the aggregate of all ratings is stored.
const (
	tableEstimates = "estimate"
	keySum         = "sum"
)

// LeaseName names the lease whose holder aggregates ratings.
const LeaseName = "estimates"

// Intervals and bounds of aggregating and reading ratings.
const (
	sumInterval        = 2 * time.Second
	minReadInterval    = 5 * time.Second // shortest time between two reads of the aggregate
	readBytesPerSecond = 500             // bytes a second that a host spends on reading it, at most
	ratingsPerBatch    = 1000
)

// storedEstimates is the stored form of the aggregate. Cursor is the sequence number of the last
// rating in it.
type storedEstimates struct {
	Cursor  int64   `json:"cursor"`
	Entries []Entry `json:"entries"`
}

// Aggregator aggregates ratings on the host that holds the lease, and reads the aggregate on all
// hosts.
type Aggregator struct {
	tables  store.Tables
	ratings store.Ratings
	current atomic.Pointer[Table]
}

// NewAggregator returns an aggregator without estimates.
func NewAggregator(tables store.Tables, ratings store.Ratings) *Aggregator {
	a := &Aggregator{tables: tables, ratings: ratings}
	a.current.Store(&Table{})
	return a
}

// Current returns the estimates as last read or written by this host.
func (a *Aggregator) Current() Table { return *a.current.Load() }

// Run reads the stored aggregate periodically until the context ends.
func (a *Aggregator) Run(ctx context.Context) {
	for {
		wait := minReadInterval
		if s, row, err := a.read(ctx); err == nil {
			t := NewTable(s.Entries)
			a.current.Store(&t)
			wait = max(wait, time.Duration(len(row.Value))*time.Second/readBytesPerSecond)
		}
		if !clock.Sleep(ctx, clock.Around(wait)) {
			return
		}
	}
}

// Sum adds new ratings to the aggregate while the lease is held.
func (a *Aggregator) Sum(ctx context.Context, l *lease.Lease) {
	for l.Valid() && ctx.Err() == nil {
		if err := a.SumOnce(ctx, l); errors.Is(err, store.ErrConflict) {
			return
		}
		clock.Sleep(ctx, sumInterval)
	}
}

// SumOnce adds one batch of new ratings to the aggregate.
func (a *Aggregator) SumOnce(ctx context.Context, l *lease.Lease) error {
	s, row, err := a.read(ctx)
	if err != nil {
		return err
	}
	ratings, err := a.ratings.After(ctx, s.Cursor, ratingsPerBatch)
	if err != nil {
		return fmt.Errorf("read ratings: %w", err)
	}
	if len(ratings) == 0 {
		return nil
	}
	added := map[Key][]float64{}
	for _, r := range ratings {
		key := Key{Workspace: r.Workspace, Class: r.Class, Version: declare.ParseRef(r.Version)}
		added[key] = append(added[key], r.Score)
		s.Cursor = r.Sequence
	}
	table := NewTable(s.Entries).WithRatings(added)
	s.Entries = table.Entries()
	data, err := codec.Pack(s)
	if err != nil {
		return err
	}
	err = a.tables.Commit(ctx, l.Fenced(store.Transaction{
		Conditions: []store.Condition{store.AtVersion(tableEstimates, row)},
		Writes:     []store.Write{store.Put(tableEstimates, keySum, data)},
	}))
	if err != nil {
		return fmt.Errorf("write estimates: %w", err)
	}
	a.current.Store(&table)
	return nil
}

func (a *Aggregator) read(ctx context.Context) (storedEstimates, store.Row, error) {
	row, err := a.tables.Get(ctx, tableEstimates, keySum)
	if errors.Is(err, store.ErrNotFound) {
		return storedEstimates{}, store.Row{Key: keySum}, nil
	}
	if err != nil {
		return storedEstimates{}, store.Row{}, fmt.Errorf("read estimates: %w", err)
	}
	s, err := codec.Unpack[storedEstimates](row.Value)
	if err != nil {
		return storedEstimates{}, store.Row{}, fmt.Errorf("read estimates: %w", err)
	}
	return s, row, nil
}
