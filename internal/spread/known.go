package spread

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"quaybarrow/internal/store"
)

// known is what a host was told last of a table. While the store is away it is
// the best there is for a host that has just started; safe for use at once.
type known struct {
	mu      sync.Mutex // guards all below
	loaded  bool
	rows    map[string]store.Row
	version int64
	told    time.Time // when the store said so
}

// freshFor is how old what a host was told may be to count as told lately: a
// wait at the store and some.
const freshFor = 1300 * time.Millisecond

func (k *known) isLoaded() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.loaded
}

func (k *known) load(state store.State, age time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.replace(state)
	k.told = time.Now().Add(-age)
}

func (k *known) replace(state store.State) {
	k.rows = make(map[string]store.Row, len(state.Rows))
	for _, row := range state.Rows {
		k.rows[row.Key] = row
	}
	k.loaded, k.version = true, state.Version
}

func (k *known) apply(changes []store.Change, version int64, age time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.loaded {
		return
	}
	for _, c := range changes {
		if c.Deleted {
			delete(k.rows, c.Key)
		} else {
			k.rows[c.Key] = c.Row
		}
	}
	k.version = version
	k.told = time.Now().Add(-age)
}

// age is the time since the store said what is known.
func (k *known) age() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return time.Since(k.told)
}

// lately returns the table if it was told lately; only the version if that is
// not after one that the asker has.
func (k *known) lately(after int64) (store.State, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.loaded || time.Since(k.told) > freshFor {
		return store.State{}, false
	}
	state := store.State{Version: k.version}
	if k.version <= after {
		return state, true
	}
	for _, row := range k.rows {
		state.Rows = append(state.Rows, row)
	}
	return state, true
}

// changes returns what differs in a newer state, in order, and takes it in.
func (k *known) changes(state store.State, age time.Duration) []store.Change {
	k.mu.Lock()
	defer k.mu.Unlock()
	changes := difference(k.rows, state)
	k.replace(state)
	k.told = time.Now().Add(-age)
	return changes
}

// difference lists what changed from rows to a state, in order.
func difference(rows map[string]store.Row, state store.State) []store.Change {
	var changes []store.Change
	listed := map[string]bool{}
	for _, row := range state.Rows {
		listed[row.Key] = true
		if rows[row.Key].Version != row.Version {
			changes = append(changes, store.Change{Row: row})
		}
	}
	for key := range rows {
		if !listed[key] {
			changes = append(changes, store.Change{Row: store.Row{Key: key, Version: state.Version}, Deleted: true})
		}
	}
	slices.SortStableFunc(changes, func(a, b store.Change) int { return cmp.Compare(a.Version, b.Version) })
	return changes
}

// state returns the table as it was last known; false if it never was.
func (k *known) state() (store.State, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	state := store.State{Version: k.version}
	for _, row := range k.rows {
		state.Rows = append(state.Rows, row)
	}
	return state, k.loaded
}
