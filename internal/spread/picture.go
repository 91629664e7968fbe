package spread

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"quaybarrow/internal/store"
)

// removalsMost bounds the removals that a picture remembers.
const removalsMost = 512

// picture is a table as of a version, with its latest removals.
type picture struct {
	rows    map[string]store.Row
	version int64
	latest  int64          // of the rows and removals
	keys    uint64         // hash over the keys of all rows
	removed []store.Change // oldest first
}

func newPicture() picture { return picture{rows: map[string]store.Row{}} }

// pictureOf makes a picture of a whole table.
func pictureOf(state store.State) picture {
	p := newPicture()
	for _, row := range state.Rows {
		p.put(row)
	}
	p.version = state.Version
	return p
}

func (p *picture) put(row store.Row) {
	p.latest = max(p.latest, row.Version)
	if _, ok := p.rows[row.Key]; !ok {
		p.keys ^= xxhash.Sum64String(row.Key)
	}
	p.rows[row.Key] = row
}

func (p *picture) remove(c store.Change) {
	p.latest = max(p.latest, c.Version)
	if _, ok := p.rows[c.Key]; !ok {
		return
	}
	p.keys ^= xxhash.Sum64String(c.Key)
	delete(p.rows, c.Key)
	p.removed = append(p.removed, c)
	if over := len(p.removed) - removalsMost; over > 0 {
		p.removed = append([]store.Change(nil), p.removed[over:]...)
	}
}

// apply takes in changes up to a version.
func (p *picture) apply(changes []store.Change, version int64) {
	for _, c := range changes {
		if c.Deleted {
			p.remove(c)
		} else {
			p.put(c.Row)
		}
	}
	p.version = max(p.version, version)
}

// since lists what changed after a version, in order; all rows for -1. Removals
// that are no longer remembered are not among it; who misses one sees it by the
// hash over the keys.
func (p *picture) since(after int64) []store.Change {
	if after >= p.latest {
		return nil
	}
	var changes []store.Change
	for _, row := range p.rows {
		if row.Version > after {
			changes = append(changes, store.Change{Row: row})
		}
	}
	for _, c := range p.removed {
		if _, back := p.rows[c.Key]; after >= 0 && c.Version > after && !back {
			changes = append(changes, c)
		}
	}
	sortChanges(changes)
	return changes
}

// state returns the table whole.
func (p *picture) state() store.State {
	state := store.State{Version: p.version, Rows: make([]store.Row, 0, len(p.rows))}
	for _, row := range p.rows {
		state.Rows = append(state.Rows, row)
	}
	return state
}

// difference lists what a newer state changes, in order.
func (p *picture) difference(state store.State) []store.Change {
	var changes []store.Change
	listed := map[string]bool{}
	for _, row := range state.Rows {
		listed[row.Key] = true
		if p.rows[row.Key].Version != row.Version {
			changes = append(changes, store.Change{Row: row})
		}
	}
	for key := range p.rows {
		if !listed[key] {
			changes = append(changes, store.Change{Row: store.Row{Key: key, Version: state.Version}, Deleted: true})
		}
	}
	sortChanges(changes)
	return changes
}

func sortChanges(changes []store.Change) {
	slices.SortStableFunc(changes, func(a, b store.Change) int { return cmp.Compare(a.Version, b.Version) })
}
