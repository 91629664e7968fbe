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

func (k *cachedTable) isLoaded() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.loaded
}

// version returns the version of the cached state, 0 if there is none.
func (k *cachedTable) version() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.replica.version
}

// replace replaces the cached state by a whole table.
func (k *cachedTable) replace(n tableUpdate) store.State {
	k.mu.Lock()
	defer k.mu.Unlock()
	state := store.State{Version: n.version}
	for _, c := range n.changes {
		state.Rows = append(state.Rows, c.Row)
	}
	k.replica, k.loaded = replicaOf(state), true
	k.confirmedAt = clock.Now().Add(-n.age)
	return state
}

// apply applies an update and returns false if the key hash shows that a removal was missed.
// Updates older than the cached version are ignored.
func (k *cachedTable) apply(n tableUpdate) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.loaded || n.version < k.replica.version {
		return true
	}
	k.replica.apply(n.changes, n.version)
	k.confirmedAt = clock.Now().Add(-n.age)
	return !n.hasKeyHash || n.keyHash == k.replica.keyHash
}

// updateSince returns the changes after a version, or all rows if after is -1; false if there is no
// cached state.
func (k *cachedTable) updateSince(after int64) (tableUpdate, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return tableUpdate{
		changes: k.replica.changesSince(after), version: k.replica.version, age: clock.Since(k.confirmedAt),
		keyHash: k.replica.keyHash, hasKeyHash: true,
	}, k.loaded
}

// copy returns a copy of the cached state for a new mirror; false if there is none.
func (k *cachedTable) copy() (replica, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	p := replicaOf(k.replica.state())
	p.removed = slices.Clone(k.replica.removed)
	p.latestVersion = k.replica.latestVersion
	p.writesCompleteAfter = p.latestVersion
	return p, k.loaded
}
