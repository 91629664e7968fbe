package spread

import (
	"sync"

	"quaybarrow/internal/store"
)

// known is what a host was told last of a table. While the store is away it is
// the best there is for a host that has just started; safe for use at once.
type known struct {
	mu      sync.Mutex // guards all below
	loaded  bool
	rows    map[string]store.Row
	version int64
}

func (k *known) isLoaded() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.loaded
}

func (k *known) load(state store.State) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.rows = make(map[string]store.Row, len(state.Rows))
	for _, row := range state.Rows {
		k.rows[row.Key] = row
	}
	k.loaded, k.version = true, state.Version
}

func (k *known) apply(changes []store.Change, version int64) {
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
