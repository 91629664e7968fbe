package spread

import (
	"slices"
	"sync"
	"time"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/store"
)

// tableUpdate is what a source tells of a table.
type tableUpdate struct {
	changes    []store.Change // all rows if the whole table was asked for
	version    int64          // that the source has
	age        time.Duration  // since the store said so
	keyHash    uint64         // hash over the keys of the whole table, if checked
	hasKeyHash bool
}

// cachedTable is what a host was told last of a table. While the store is away it is
// the best there is for a host that has just started; safe for use at once.
type cachedTable struct {
	mu          sync.Mutex // guards all below
	loaded      bool
	replica     replica
	confirmedAt clock.Instant // when the store said so
}

func newCachedTable() *cachedTable { return &cachedTable{replica: newReplica()} }

func (k *cachedTable) isLoaded() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.loaded
}

// version is that of what is known, 0 if nothing is.
func (k *cachedTable) version() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.replica.version
}

// replace takes in a whole table.
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

// apply takes in what changed; false if it shows that a removal was missed. A
// source that knows less than this host tells nothing.
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

// updateSince returns what is known after a version, all for -1; false if nothing is.
func (k *cachedTable) updateSince(after int64) (tableUpdate, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return tableUpdate{
		changes: k.replica.changesSince(after), version: k.replica.version, age: clock.Since(k.confirmedAt),
		keyHash: k.replica.keyHash, hasKeyHash: true,
	}, k.loaded
}

// copy returns what is known for a mirror to begin with; false if nothing is.
func (k *cachedTable) copy() (replica, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	p := replicaOf(k.replica.state())
	p.removed = slices.Clone(k.replica.removed)
	p.latestVersion = k.replica.latestVersion
	p.writesCompleteAfter = p.latestVersion
	return p, k.loaded
}
