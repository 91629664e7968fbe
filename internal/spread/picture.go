package spread

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"quaybarrow/internal/store"
)

// Bounds of the changes that a picture remembers, to tell those who ask what came after a version.
// They grow with the table: a seventh of its rows may go at the same moment, and who asks from
// before a removal that is not remembered reads the table whole.
const (
	changesLeast = 512
	changesPart  = 0.5 // of the rows
)

// picture is a table as of a version, with its latest removals.
type picture struct {
	rows     map[string]store.Row
	version  int64
	latest   int64          // of the rows and removals
	keys     uint64         // hash over the keys of all rows
	removed  []store.Change // oldest first
	written  []written      // rows, oldest first; one that was written again may stand there twice
	complete int64          // all rows that were written after this version are among these
}

// written is a row that was written.
type written struct {
	key     string
	version int64
}

func newPicture() picture { return picture{rows: map[string]store.Row{}} }

// pictureOf makes a picture of a whole table.
func pictureOf(state store.State) picture {
	p := newPicture()
	for _, row := range state.Rows {
		p.put(row)
	}
	p.version = state.Version
	p.written, p.complete = nil, p.latest
	return p
}

func (p *picture) put(row store.Row) {
	p.note(row)
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
	if most := p.most(); len(p.removed) > 2*most {
		p.removed = append([]store.Change(nil), p.removed[len(p.removed)-most:]...)
	}
}

// most is how many changes of a kind are remembered at least, and twice as many at most.
func (p *picture) most() int { return max(changesLeast, int(changesPart*float64(len(p.rows)))) }

// note remembers that a row is written.
func (p *picture) note(row store.Row) {
	if row.Version < p.latest {
		p.written, p.complete = nil, p.latest // out of order: nothing is known of before
		return
	}
	p.written = append(p.written, written{row.Key, row.Version})
	if most := p.most(); len(p.written) > 2*most {
		over := len(p.written) - most
		p.complete = p.written[over-1].version
		p.written = append([]written(nil), p.written[over:]...)
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
	changes := p.writtenSince(after)
	for _, c := range p.removed {
		if _, back := p.rows[c.Key]; after >= 0 && c.Version > after && !back {
			changes = append(changes, c)
		}
	}
	sortChanges(changes)
	return changes
}

// writtenSince lists the rows that were written after a version, by what is remembered of it if
// that reaches so far back: a reader is asked for a few changes many times a second.
func (p *picture) writtenSince(after int64) []store.Change {
	var changes []store.Change
	if after < p.complete {
		for _, row := range p.rows {
			if row.Version > after {
				changes = append(changes, store.Change{Row: row})
			}
		}
		return changes
	}
	from, _ := slices.BinarySearchFunc(p.written, after+1, func(w written, version int64) int { return cmp.Compare(w.version, version) })
	for _, w := range p.written[from:] {
		if row, ok := p.rows[w.key]; ok && row.Version == w.version {
			changes = append(changes, store.Change{Row: row})
		}
	}
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
