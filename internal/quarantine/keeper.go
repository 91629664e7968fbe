package quarantine

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/store"
)

// Table is where each host keeps what it has seen, in a row named after it, for hosts that start
// when no other is there to ask.
const Table = "quarantine"

// Times of what is kept.
const (
	// keepAfter is how long a host waits before it keeps a crash under requests that were at no
	// other: nearly all come to a good end elsewhere by then, and nothing is to be kept.
	keepAfter  = 2 * time.Second
	retryFirst = 150 * time.Millisecond
	retryMost  = 1200 * time.Millisecond
	// settleAfter a write of which the answer was lost it may still be done, in place of one
	// that came later.
	settleAfter = 8 * time.Second
	// loadEvery is how often a host that has started looks for one that knows what is kept, and
	// loadAlone for how long before it reads the store itself, or up to loadSpread longer: of many
	// that start together the first ones tell the others. It sends again to endpoints three
	// seconds after its start what others know.
	loadEvery  = 300 * time.Millisecond
	loadAlone  = 1500 * time.Millisecond
	loadSpread = time.Second
	// loadMost is for how long a host that has started tells nothing of its own while neither
	// another host nor the store tells what it told before.
	loadMost = 4 * time.Second
)

// errNoClock means that the clock which hosts share is not known yet.
var errNoClock = errors.New("the shared clock is not known yet")

// keep keeps what this host has seen in the store.
func (b *Book) keep(ctx context.Context) {
	for b.save.Wait(ctx) {
		if !b.isLoaded() {
			continue // it is kept then
		}
		if !b.awaitGrave(ctx) {
			return
		}
		lost := b.write(ctx)
		if lost && clock.Sleep(ctx, settleAfter) {
			b.write(ctx)
		}
	}
}

// awaitGrave waits for a while, or until something is to be kept at once; false if the context
// ends.
func (b *Book) awaitGrave(ctx context.Context) bool {
	timer := time.NewTimer(keepAfter)
	defer timer.Stop()
	for !b.grave() {
		select {
		case <-ctx.Done():
			return false
		case <-b.save:
		case <-timer.C:
			return true
		}
	}
	return ctx.Err() == nil
}

// grave reports whether this host has seen something of a request that is in quarantine, or
// would be after a crash more.
func (b *Book) grave() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.judge()
	v := b.seen()
	for _, c := range b.own().crashes {
		for f := range c.Under {
			if _, held := b.verdicts[f]; held || v.of(f).moments >= crashesLeast-1 {
				return true
			}
		}
	}
	return false
}

// write brings the host's row in the store up to date, and tries until it is; it reports whether
// an answer was lost on the way.
func (b *Book) write(ctx context.Context) (lost bool) {
	for retry := retryFirst; ctx.Err() == nil; retry = min(2*retry, retryMost) {
		txn, err := b.transaction()
		if err == nil && len(txn.Writes) > 0 {
			err = b.options.Tables.Commit(ctx, txn)
		}
		if err == nil {
			return lost
		}
		if !lost && ctx.Err() == nil {
			b.options.Logger.Warn("what was seen of crashes can't be kept; trying on", "error", err)
		}
		lost = true
		clock.Sleep(ctx, clock.Jitter(retry))
	}
	return lost
}

// transaction makes the write that is due; without writes if none is.
func (b *Book) transaction() (store.Transaction, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.options.Tables == nil {
		return store.Transaction{}, nil
	}
	mine := b.own().open()
	if mine.isEmpty() {
		if !b.kept {
			return store.Transaction{}, nil
		}
		b.kept = false
		return store.Transaction{Writes: []store.Write{store.Delete(Table, b.options.Host)}}, nil
	}
	ahead, err := b.ahead()
	if err != nil {
		return store.Transaction{}, err
	}
	data, err := encodeKept(mine, b.own().version, ahead)
	if err != nil {
		return store.Transaction{}, fmt.Errorf("keep crashes: %w", err)
	}
	b.kept = true
	return store.Transaction{Writes: []store.Write{store.Put(Table, b.options.Host, data)}}, nil
}

// ahead is how far the shared clock is ahead of the book's; where there is none, what is written
// is relative to now.
func (b *Book) ahead() (time.Duration, error) {
	if b.options.Now == nil {
		return -b.clock.Now(), nil
	}
	shared, known := b.options.now()
	if !known {
		return 0, errNoClock
	}
	return shared - b.clock.Now(), nil
}

// load learns what hosts have kept, once: from another host that knows, and if none does from
// the store. The first of all hosts reads it, and tells the others; they read it themselves if
// they hear nothing for a while, so after a loss of power it is one call.
func (b *Book) load(ctx context.Context) {
	began, alone := clock.Now(), loadAlone+rand.N(loadSpread)
	for clock.Sleep(ctx, clock.Around(loadEvery)) && !b.isLoaded() {
		b.compareOnce(ctx)
		if b.isLoaded() || (!b.options.leads() && clock.Since(began) < alone) {
			continue
		}
		b.readKept(ctx)
		if clock.Since(began) > loadMost {
			b.mu.Lock()
			b.learned()
			b.mu.Unlock()
		}
	}
}

// isLoaded reports whether what hosts have told and kept is known.
func (b *Book) isLoaded() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.loaded
}

// leads reports whether this host is the first of all.
func (o Options) leads() bool { return o.Leads == nil || o.Leads() }

// readKept reads what hosts have kept, and tells all others, who may have just started too. Rows of
// which nothing counts any more are removed: their hosts may be gone.
func (b *Book) readKept(ctx context.Context) {
	if b.options.Tables == nil {
		return
	}
	rows, err := b.options.Tables.Scan(ctx, store.Range{Table: Table})
	if err != nil {
		if ctx.Err() == nil {
			b.options.Logger.Warn("what hosts have kept of crashes can't be read; trying on", "error", err)
		}
		return
	}
	old := b.takeKept(rows)
	b.mu.Lock()
	all := b.encoded(slices.Sorted(maps.Keys(b.versions())))
	b.mu.Unlock()
	b.spread(ctx, all, true)
	for _, kept := range old {
		txn := store.Transaction{Conditions: []store.Condition{store.AtVersion(Table, kept)}, Writes: []store.Write{store.Delete(Table, kept.Key)}}
		if err := b.options.Tables.Commit(ctx, txn); err != nil {
			b.options.Logger.Info("a row that is too old to count stays for now", "row", kept.Key, "error", err)
		}
	}
}

// takeKept takes in rows of the store and returns those of which nothing counts any more.
func (b *Book) takeKept(rows []store.Row) (old []store.Row) {
	b.mu.Lock()
	defer b.mu.Unlock()
	ahead, err := b.ahead()
	if err != nil {
		ahead = 0 // what is kept counts as seen when this host started
	}
	for _, kept := range rows {
		r, err := decodeKept(kept.Value, ahead)
		if err != nil {
			b.options.Logger.Error("what a host has kept of crashes can't be read", "row", kept.Key, "row_version", kept.Version, "error", err)
			continue
		}
		b.kept = b.kept || kept.Key == b.options.Host
		r.trim(b.clock.Now()-rememberedFor, func(Fingerprint) bool { return false })
		switch {
		case r.isEmpty():
			old = append(old, kept)
		case r.version > b.rows[kept.Key].version:
			b.takeRow(kept.Key, r)
		}
	}
	b.learned()
	b.judge()
	b.options.Logger.Info("crashes read", "rows", len(rows), "quarantined", len(b.verdicts))
	return old
}
