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

// Table is the table in which each host stores what it has seen, in a row named after the host, for
// hosts that start when no other host is there to ask.
const Table = "quarantine"

const (
	// persistDelay is how long a host waits before it stores a crash under requests that were at no
	// other crash: nearly all of them complete elsewhere by then, and nothing has to be stored.
	persistDelay  = 2 * time.Second
	minRetryDelay = 150 * time.Millisecond
	maxRetryDelay = 1200 * time.Millisecond
	// lateWriteDelay is the time after a write whose reply was lost within which the store may still
	// execute it, over a write that came later.
	lateWriteDelay = 8 * time.Second
	// firstLoadDelay is how long after its start a host looks for another host that knows the stored
	// rows: the host already serves, and callers repeat a request that crashes endpoints several times a
	// second. While no host knows them, it looks again at intervals that double up to loadInterval.
	firstLoadDelay = 20 * time.Millisecond
	loadInterval   = 300 * time.Millisecond
	// loadFromPeersFor is how long a host looks for another one before it reads the store itself; up to
	// loadJitter is added, so that of many hosts that start together the first ones send the rows to
	// the others. Three seconds after its start, a host must know what others know.
	loadFromPeersFor = 1500 * time.Millisecond
	loadJitter       = time.Second
	// loadTimeout is how long a host that has started sends nothing of its own while neither another
	// host nor the store returns what it sent before.
	loadTimeout = 4 * time.Second
)

// errNoClock means that the clock which hosts share is not known yet.
var errNoClock = errors.New("the shared clock is not known yet")

// persistLoop stores what this host has seen.
func (t *Tracker) persistLoop(ctx context.Context) {
	for t.persistDue.Wait(ctx) {
		if !t.isLoaded() {
			continue // stored once it is loaded
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

// awaitPersist waits for persistDelay, or until something has to be stored at once; it returns false
// if the context ends.
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

// persistUrgent reports whether this host has seen a crash under a request that is quarantined, or
// would be after one more crash.
func (t *Tracker) persistUrgent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh()
	v := t.view()
	for _, c := range t.ownRow().crashes {
		if t.partsUrgent(v, c) {
			return true
		}
		for f := range c.Runs {
			if _, quarantined := t.quarantined[f]; quarantined || v.assessRequest(f).moments >= minMoments-1 {
				return true
			}
		}
	}
	return false
}

// persist updates the host's row in the store and retries until it succeeds; it reports whether a
// reply was lost on the way.
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
			t.options.Logger.Warn("crash evidence can't be stored; retrying", "error", err)
		}
		lost = true
		clock.Sleep(ctx, clock.Jitter(retry))
	}
	return lost
}

// nextTransaction returns the write that is due, or a transaction without writes if none is.
func (t *Tracker) nextTransaction() (store.Transaction, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.options.Tables == nil {
		return store.Transaction{}, nil
	}
	unresolved := t.ownRow().unresolved(t.storesPart)
	if unresolved.isEmpty() {
		if !t.stored {
			return store.Transaction{}, nil
		}
		t.stored, t.storedParts = false, nil
		return store.Transaction{Writes: []store.Write{store.Delete(Table, t.options.Host)}}, nil
	}
	offset, err := t.sharedClockOffset()
	if err != nil {
		return store.Transaction{}, err
	}
	data, err := encodeStored(unresolved, t.ownRow().version, offset)
	if err != nil {
		return store.Transaction{}, fmt.Errorf("encode crash evidence: %w", err)
	}
	t.stored, t.storedParts = true, unresolved.partKeys()
	return store.Transaction{Writes: []store.Write{store.Put(Table, t.options.Host, data)}}, nil
}

// sharedClockOffset returns how far the shared clock is ahead of the tracker's. Without a shared
// clock, stored times are relative to the time of writing.
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

// load learns once what hosts have stored: from another host that knows it, or else from the store.
// The first of all hosts reads the store and sends the rows to the others, which read it themselves
// only if they receive nothing for a while. So after a power loss there is one read.
func (t *Tracker) load(ctx context.Context) {
	began, peersOnly := clock.Now(), loadFromPeersFor+rand.N(loadJitter)
	for delay := firstLoadDelay; clock.Sleep(ctx, clock.Around(delay)) && !t.isLoaded(); delay = min(2*delay, loadInterval) {
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

// isLoaded reports whether the host knows what hosts have sent and stored before.
func (t *Tracker) isLoaded() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.loaded
}

// isFirstHost reports whether this host is the first of all hosts.
func (o Options) isFirstHost() bool { return o.IsFirstHost == nil || o.IsFirstHost() }

// loadFromStore reads what hosts have stored, and sends it to all others, which may have just
// started too. It deletes rows that have only expired evidence: their hosts may be gone.
func (t *Tracker) loadFromStore(ctx context.Context) {
	if t.options.Tables == nil {
		return
	}
	rows, err := t.options.Tables.Scan(ctx, store.Range{Table: Table})
	if err != nil {
		if ctx.Err() == nil {
			t.options.Logger.Warn("stored crash evidence can't be read; retrying", "error", err)
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
			t.options.Logger.Info("expired crash evidence of a host not deleted", "row", storedRow.Key, "error", err)
		}
	}
}

// mergeStored merges rows of the store and returns those that have only expired evidence.
func (t *Tracker) mergeStored(rows []store.Row) (expired []store.Row) {
	t.mu.Lock()
	defer t.mu.Unlock()
	offset, err := t.sharedClockOffset()
	if err != nil {
		offset = 0 // stored crashes count as seen when this host started
	}
	for _, storedRow := range rows {
		r, err := decodeStored(storedRow.Value, offset)
		if err != nil {
			t.options.Logger.Error("stored crash evidence of a host can't be read", "row", storedRow.Key, "row_version", storedRow.Version, "error", err)
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
	t.options.Logger.Info("stored crash evidence loaded", "rows", len(rows), "quarantined", len(t.quarantined))
	return expired
}
