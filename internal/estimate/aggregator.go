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

// Where the sum of all ratings is kept.
const (
	tableEstimates = "estimate"
	keySum         = "sum"
)

// LeaseName is the name of the lease under which ratings are summed up.
const LeaseName = "estimates"

// Times and bounds of keeping estimates.
const (
	sumInterval        = 2 * time.Second
	minReadInterval    = 5 * time.Second // at the least
	readBytesPerSecond = 500             // bytes a second that a host spends on reading
	ratingsPerBatch    = 1000
)

// storedEstimates is the row.
type storedEstimates struct {
	Cursor  int64   `json:"cursor"`
	Entries []Entry `json:"entries"`
}

// Aggregator sums up ratings on one host at a time and reads the sum on all.
type Aggregator struct {
	tables  store.Tables
	ratings store.Ratings
	current atomic.Pointer[Table]
}

// NewAggregator returns a keeper that knows nothing yet.
func NewAggregator(tables store.Tables, ratings store.Ratings) *Aggregator {
	a := &Aggregator{tables: tables, ratings: ratings}
	a.current.Store(&Table{})
	return a
}

// Current returns the estimates as last read.
func (a *Aggregator) Current() Table { return *a.current.Load() }

// Run reads the sum until the context ends.
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

// Sum takes in new ratings while the lease is held.
func (a *Aggregator) Sum(ctx context.Context, l *lease.Lease) {
	for l.Valid() && ctx.Err() == nil {
		if err := a.SumOnce(ctx, l); errors.Is(err, store.ErrConflict) {
			return
		}
		clock.Sleep(ctx, sumInterval)
	}
}

// SumOnce takes in one batch of ratings.
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
