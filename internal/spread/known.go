package spread

import (
	"slices"
	"sync"
	"time"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/store"
)

// news is what a source tells of a table.
type news struct {
	changes []store.Change // all rows if the whole table was asked for
	version int64          // that the source has
	age     time.Duration  // since the store said so
	keys    uint64         // hash over the keys of the whole table, if checked
	checked bool
}

// known is what a host was told last of a table. While the store is away it is
// the best there is for a host that has just started; safe for use at once.
type known struct {
	mu      sync.Mutex // guards all below
	loaded  bool
	picture picture
	told    clock.Instant // when the store said so
}

func newKnown() *known { return &known{picture: newPicture()} }

func (k *known) isLoaded() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.loaded
}

// version is that of what is known, 0 if nothing is.
func (k *known) version() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.picture.version
}

// replace takes in a whole table.
func (k *known) replace(n news) store.State {
	k.mu.Lock()
	defer k.mu.Unlock()
	state := store.State{Version: n.version}
	for _, c := range n.changes {
		state.Rows = append(state.Rows, c.Row)
	}
	k.picture, k.loaded = pictureOf(state), true
	k.told = clock.Now().Add(-n.age)
	return state
}

// apply takes in what changed; false if it shows that a removal was missed. A
// source that knows less than this host tells nothing.
func (k *known) apply(n news) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.loaded || n.version < k.picture.version {
		return true
	}
	k.picture.apply(n.changes, n.version)
	k.told = clock.Now().Add(-n.age)
	return !n.checked || n.keys == k.picture.keys
}

// news returns what is known after a version, all for -1; false if nothing is.
func (k *known) news(after int64) (news, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return news{
		changes: k.picture.since(after), version: k.picture.version, age: clock.Since(k.told),
		keys: k.picture.keys, checked: true,
	}, k.loaded
}

// copy returns what is known for a mirror to begin with; false if nothing is.
func (k *known) copy() (picture, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	p := pictureOf(k.picture.state())
	p.removed = slices.Clone(k.picture.removed)
	p.latest = k.picture.latest
	p.complete = p.latest
	return p, k.loaded
}
