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
	minHistory      = 512
	historyFraction = 0.5 // of the rows
)

// replica is a table as of a version, with its latest removals.
type replica struct {
	rows                map[string]store.Row
	version             int64
	latestVersion       int64          // of the rows and removals
	keyHash             uint64         // hash over the keys of all rows
	removed             []store.Change // oldest first
	writes              []rowWrite     // rows, oldest first; one that was written again may stand there twice
	writesCompleteAfter int64          // all rows that were written after this version are among these
}

// rowWrite is a row that was rowWrite.
type rowWrite struct {
	key     string
	version int64
}

func newReplica() replica { return replica{rows: map[string]store.Row{}} }

// replicaOf makes a picture of a whole table.
func replicaOf(state store.State) replica {
	p := newReplica()
	for _, row := range state.Rows {
		p.put(row)
	}
	p.version = state.Version
	p.writes, p.writesCompleteAfter = nil, p.latestVersion
	return p
}

func (p *replica) put(row store.Row) {
	p.recordWrite(row)
	p.latestVersion = max(p.latestVersion, row.Version)
	if _, ok := p.rows[row.Key]; !ok {
		p.keyHash ^= xxhash.Sum64String(row.Key)
	}
	p.rows[row.Key] = row
}

func (p *replica) remove(c store.Change) {
	p.latestVersion = max(p.latestVersion, c.Version)
	if _, ok := p.rows[c.Key]; !ok {
		return
	}
	p.keyHash ^= xxhash.Sum64String(c.Key)
	delete(p.rows, c.Key)
	p.removed = append(p.removed, c)
	if most := p.historyLimit(); len(p.removed) > 2*most {
		p.removed = append([]store.Change(nil), p.removed[len(p.removed)-most:]...)
	}
}

// historyLimit is how many changes of a kind are remembered at least, and twice as many at historyLimit.
func (p *replica) historyLimit() int {
	return max(minHistory, int(historyFraction*float64(len(p.rows))))
}

// recordWrite remembers that a row is written.
func (p *replica) recordWrite(row store.Row) {
	if row.Version < p.latestVersion {
		p.writes, p.writesCompleteAfter = nil, p.latestVersion // out of order: nothing is known of before
		return
	}
	p.writes = append(p.writes, rowWrite{row.Key, row.Version})
	if most := p.historyLimit(); len(p.writes) > 2*most {
		excess := len(p.writes) - most
		p.writesCompleteAfter = p.writes[excess-1].version
		p.writes = append([]rowWrite(nil), p.writes[excess:]...)
	}
}

// apply takes in changes up to a version.
func (p *replica) apply(changes []store.Change, version int64) {
	for _, c := range changes {
		if c.Deleted {
			p.remove(c)
		} else {
			p.put(c.Row)
		}
	}
	p.version = max(p.version, version)
}

// changesSince lists what changed after a version, in order; all rows for -1. Removals
// that are no longer remembered are not among it; who misses one sees it by the
// hash over the keys.
func (p *replica) changesSince(after int64) []store.Change {
	if after >= p.latestVersion {
		return nil
	}
	changes := p.writtenSince(after)
	for _, c := range p.removed {
		if _, present := p.rows[c.Key]; after >= 0 && c.Version > after && !present {
			changes = append(changes, c)
		}
	}
	sortChanges(changes)
	return changes
}

// writtenSince lists the rows that were written after a version, by what is remembered of it if
// that reaches so far back: a reader is asked for a few changes many times a second.
func (p *replica) writtenSince(after int64) []store.Change {
	var changes []store.Change
	if after < p.writesCompleteAfter {
		for _, row := range p.rows {
			if row.Version > after {
				changes = append(changes, store.Change{Row: row})
			}
		}
		return changes
	}
	from, _ := slices.BinarySearchFunc(p.writes, after+1, func(w rowWrite, version int64) int { return cmp.Compare(w.version, version) })
	for _, w := range p.writes[from:] {
		if row, ok := p.rows[w.key]; ok && row.Version == w.version {
			changes = append(changes, store.Change{Row: row})
		}
	}
	return changes
}

// state returns the table whole.
func (p *replica) state() store.State {
	state := store.State{Version: p.version, Rows: make([]store.Row, 0, len(p.rows))}
	for _, row := range p.rows {
		state.Rows = append(state.Rows, row)
	}
	return state
}

// diff lists what a newer state changes, in order.
func (p *replica) diff(state store.State) []store.Change {
	var changes []store.Change
	present := map[string]bool{}
	for _, row := range state.Rows {
		present[row.Key] = true
		if p.rows[row.Key].Version != row.Version {
			changes = append(changes, store.Change{Row: row})
		}
	}
	for key := range p.rows {
		if !present[key] {
			changes = append(changes, store.Change{Row: store.Row{Key: key, Version: state.Version}, Deleted: true})
		}
	}
	sortChanges(changes)
	return changes
}

func sortChanges(changes []store.Change) {
	slices.SortStableFunc(changes, func(a, b store.Change) int { return cmp.Compare(a.Version, b.Version) })
}
