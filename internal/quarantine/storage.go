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
	// persistDelay is how long a host waits before it keeps a crash under requests that were at no
	// other: nearly all come to a good end elsewhere by then, and nothing is to be kept.
	persistDelay  = 2 * time.Second
	minRetryDelay = 150 * time.Millisecond
	maxRetryDelay = 1200 * time.Millisecond
	// lateWriteDelay a write of which the answer was lost it may still be done, in place of one
	// that came later.
	lateWriteDelay = 8 * time.Second
	// loadInterval is how often a host that has started looks for one that knows what is kept, and
	// loadAlone for how long before it reads the store itself, or up to loadSpread longer: of many
	// that start together the first ones tell the others. It sends again to endpoints three
	// seconds after its start what others know.
	loadInterval     = 300 * time.Millisecond
	loadFromPeersFor = 1500 * time.Millisecond
	loadJitter       = time.Second
	// loadTimeout is for how long a host that has started tells nothing of its own while neither
	// another host nor the store tells what it told before.
	loadTimeout = 4 * time.Second
)

// errNoClock means that the clock which hosts share is not known yet.
var errNoClock = errors.New("the shared clock is not known yet")

// persistLoop keeps what this host has seen in the store.
func (t *Tracker) persistLoop(ctx context.Context) {
	for t.persistDue.Await(ctx) {
		if !t.isLoaded() {
			continue // it is kept then
		}
		if !t.awaitPersist(ctx) {
			return
		}
		lost := t.persist(ctx)
		if lost && clock.Sleep(ctx, lateWriteDelay) {
			t.persist(ctx)
		}
	}
}

// awaitPersist waits for a while, or until something is to be kept at once; false if the context
// ends.
func (t *Tracker) awaitPersist(ctx context.Context) bool {
	timer := time.NewTimer(persistDelay)
	defer timer.Stop()
	for !t.persistUrgent() {
		select {
		case <-ctx.Done():
			return false
		case <-t.persistDue:
		case <-timer.C:
			return true
		}
	}
	return ctx.Err() == nil
}

// persistUrgent reports whether this host has seen something of a request that is in quarantine, or
// would be after a crash more.
func (t *Tracker) persistUrgent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh()
	v := t.view()
	for _, c := range t.ownRow().crashes {
		for f := range c.Runs {
			if _, held := t.quarantined[f]; held || v.assessRequest(f).moments >= minMoments-1 {
				return true
			}
		}
	}
	return false
}

// persist brings the host's row in the store up to date, and tries until it is; it reports whether
// an answer was lost on the way.
func (t *Tracker) persist(ctx context.Context) (lost bool) {
	for retry := minRetryDelay; ctx.Err() == nil; retry = min(2*retry, maxRetryDelay) {
		txn, err := t.nextTransaction()
		if err == nil && len(txn.Writes) > 0 {
			err = t.options.Tables.Commit(ctx, txn)
		}
		if err == nil {
			return lost
		}
		if !lost && ctx.Err() == nil {
			t.options.Logger.Warn("what was seen of crashes can't be kept; trying on", "error", err)
		}
		lost = true
		clock.Sleep(ctx, clock.Jitter(retry))
	}
	return lost
}

// nextTransaction makes the write that is due; without writes if none is.
func (t *Tracker) nextTransaction() (store.Transaction, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.options.Tables == nil {
		return store.Transaction{}, nil
	}
	unresolved := t.ownRow().unresolved()
	if unresolved.isEmpty() {
		if !t.stored {
			return store.Transaction{}, nil
		}
		t.stored = false
		return store.Transaction{Writes: []store.Write{store.Delete(Table, t.options.Host)}}, nil
	}
	offset, err := t.sharedClockOffset()
	if err != nil {
		return store.Transaction{}, err
	}
	data, err := encodeStored(unresolved, t.ownRow().version, offset)
	if err != nil {
		return store.Transaction{}, fmt.Errorf("keep crashes: %w", err)
	}
	t.stored = true
	return store.Transaction{Writes: []store.Write{store.Put(Table, t.options.Host, data)}}, nil
}

// sharedClockOffset is how far the shared clock is sharedClockOffset of the book's; where there is none, what is written
// is relative to now.
func (t *Tracker) sharedClockOffset() (time.Duration, error) {
	if t.options.SharedNow == nil {
		return -t.clock.Now(), nil
	}
	shared, known := t.options.sharedNow()
	if !known {
		return 0, errNoClock
	}
	return shared - t.clock.Now(), nil
}

// load learns what hosts have kept, once: from another host that knows, and if none does from
// the store. The first of all hosts reads it, and tells the others; they read it themselves if
// they hear nothing for a while, so after a loss of power it is one call.
func (t *Tracker) load(ctx context.Context) {
	began, peersOnly := clock.Now(), loadFromPeersFor+rand.N(loadJitter)
	for clock.Sleep(ctx, clock.Around(loadInterval)) && !t.isLoaded() {
		t.syncOnce(ctx)
		if t.isLoaded() || (!t.options.isFirstHost() && clock.Since(began) < peersOnly) {
			continue
		}
		t.loadFromStore(ctx)
		if clock.Since(began) > loadTimeout {
			t.mu.Lock()
			t.markLoaded()
			t.mu.Unlock()
		}
	}
}

// isLoaded reports whether what hosts have told and kept is known.
func (t *Tracker) isLoaded() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.loaded
}

// isFirstHost reports whether this host is the first of all.
func (o Options) isFirstHost() bool { return o.IsFirstHost == nil || o.IsFirstHost() }

// loadFromStore reads what hosts have kept, and tells all others, who may have just started too. Rows of
// which nothing counts any more are removed: their hosts may be gone.
func (t *Tracker) loadFromStore(ctx context.Context) {
	if t.options.Tables == nil {
		return
	}
	rows, err := t.options.Tables.Scan(ctx, store.Range{Table: Table})
	if err != nil {
		if ctx.Err() == nil {
			t.options.Logger.Warn("what hosts have kept of crashes can't be read; trying on", "error", err)
		}
		return
	}
	expired := t.mergeStored(rows)
	t.mu.Lock()
	all := t.encodeRows(slices.Sorted(maps.Keys(t.versions())))
	t.mu.Unlock()
	t.broadcast(ctx, all, true)
	for _, storedRow := range expired {
		txn := store.Transaction{Conditions: []store.Condition{store.AtVersion(Table, storedRow)}, Writes: []store.Write{store.Delete(Table, storedRow.Key)}}
		if err := t.options.Tables.Commit(ctx, txn); err != nil {
			t.options.Logger.Info("a row that is too old to count stays for now", "row", storedRow.Key, "error", err)
		}
	}
}

// mergeStored takes in rows of the store and returns those of which nothing counts any more.
func (t *Tracker) mergeStored(rows []store.Row) (expired []store.Row) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ahead, err := t.sharedClockOffset()
	if err != nil {
		ahead = 0 // what is kept counts as seen when this host started
	}
	for _, storedRow := range rows {
		r, err := decodeStored(storedRow.Value, ahead)
		if err != nil {
			t.options.Logger.Error("what a host has kept of crashes can't be read", "row", storedRow.Key, "row_version", storedRow.Version, "error", err)
			continue
		}
		t.stored = t.stored || storedRow.Key == t.options.Host
		r.trim(t.clock.Now()-crashTTL, func(Fingerprint) bool { return false })
		switch {
		case r.isEmpty():
			expired = append(expired, storedRow)
		case r.version > t.rows[storedRow.Key].version:
			t.mergeRow(storedRow.Key, r)
		}
	}
	t.markLoaded()
	t.refresh()
	t.options.Logger.Info("crashes read", "rows", len(rows), "quarantined", len(t.quarantined))
	return expired
}
