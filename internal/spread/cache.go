package spread

import (
	"slices"
	"sync"
	"time"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/store"
)

// tableUpdate is the answer of a source to a read of a table.
type tableUpdate struct {
	changes    []store.Change // all rows if the whole table was requested
	version    int64          // of the table at the source
	age        time.Duration  // since the store confirmed this version
	keyHash    uint64         // hash over the keys of the whole table; set only if hasKeyHash
	hasKeyHash bool
}

// cachedTable is the last state of a table that this host received. While the store is unreachable
// it is the best available state for a host that has just started. It is safe for concurrent use.
type cachedTable struct {
	mu          sync.Mutex // guards the fields below
	loaded      bool
	replica     replica
	confirmedAt clock.Instant // when the store confirmed this version
}

func newCachedTable() *cachedTable { return &cachedTable{replica: newReplica()} }

func (t *cachedTable) isLoaded() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.loaded
}

// version returns the version of the cached state, 0 if there is none.
func (t *cachedTable) version() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.replica.version
}

// replace replaces the cached state by a whole table.
func (t *cachedTable) replace(update tableUpdate) store.State {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := store.State{Version: update.version}
	for _, c := range update.changes {
		state.Rows = append(state.Rows, c.Row)
	}
	t.replica, t.loaded = replicaOf(state), true
	t.confirmedAt = clock.Now().Add(-update.age)
	return state
}

// apply applies an update and returns false if the key hash shows that a removal was missed.
// Updates older than the cached version are ignored.
func (t *cachedTable) apply(update tableUpdate) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.loaded || update.version < t.replica.version {
		return true
	}
	t.replica.apply(update.changes, update.version)
	t.confirmedAt = clock.Now().Add(-update.age)
	return !update.hasKeyHash || update.keyHash == t.replica.keyHash
}

// updateSince returns the changes after a version, or all rows if after is -1; false if there is no
// cached state.
func (t *cachedTable) updateSince(after int64) (tableUpdate, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return tableUpdate{
		changes: t.replica.changesSince(after), version: t.replica.version, age: clock.Since(t.confirmedAt),
		keyHash: t.replica.keyHash, hasKeyHash: true,
	}, t.loaded
}

// copy returns a copy of the cached state for a new mirror; false if there is none.
func (t *cachedTable) copy() (replica, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := replicaOf(t.replica.state())
	p.removed = slices.Clone(t.replica.removed)
	p.latestVersion = t.replica.latestVersion
	p.writesCompleteAfter = p.latestVersion
	return p, t.loaded
}
