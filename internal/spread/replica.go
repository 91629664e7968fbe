package spread

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"quaybarrow/internal/store"
)

// Bounds on the recent changes that a replica keeps in order to answer requests for the changes
// after a version. They grow with the table: a seventh of its rows may be removed at the same
// moment, and a host that asks from before a removal that is no longer kept has to read the whole
// table.
const (
	minHistory      = 512
	historyFraction = 0.5 // of the number of rows
)

// replica is a copy of a table at one version, with its most recent removals and writes.
type replica struct {
	rows                map[string]store.Row
	version             int64
	latestVersion       int64          // highest version among the rows and removals
	keyHash             uint64         // hash over the keys of all rows
	removed             []store.Change // oldest first
	writes              []rowWrite     // oldest first; a row that was written again may occur twice
	writesCompleteAfter int64          // writes contains every row written after this version
}

// rowWrite records that a row was written at a version.
type rowWrite struct {
	key     string
	version int64
}

func newReplica() replica { return replica{rows: map[string]store.Row{}} }

// replicaOf returns a replica of a whole table.
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

// historyLimit returns how many removals and how many writes are kept at least. Each list is cut
// back to it when it exceeds twice that length.
func (p *replica) historyLimit() int {
	return max(minHistory, int(historyFraction*float64(len(p.rows))))
}

// recordWrite records that a row was written.
func (p *replica) recordWrite(row store.Row) {
	if row.Version < p.latestVersion {
		p.writes, p.writesCompleteAfter = nil, p.latestVersion // out of order: earlier writes may be missing
		return
	}
	p.writes = append(p.writes, rowWrite{row.Key, row.Version})
	if most := p.historyLimit(); len(p.writes) > 2*most {
		excess := len(p.writes) - most
		p.writesCompleteAfter = p.writes[excess-1].version
		p.writes = append([]rowWrite(nil), p.writes[excess:]...)
	}
}

// apply applies changes and advances the replica to a version.
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

// changesSince returns the changes after a version in order, or all rows if after is -1. Removals
// that are no longer kept are missing from it; a host that missed one detects that by the key hash.
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

// writtenSince returns the rows written after a version. It uses the recorded writes if they reach
// back that far, since a reader gets requests for a few changes many times a second.
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

// state returns the whole table.
func (p *replica) state() store.State {
	state := store.State{Version: p.version, Rows: make([]store.Row, 0, len(p.rows))}
	for _, row := range p.rows {
		state.Rows = append(state.Rows, row)
	}
	return state
}

// diff returns the changes that lead from the replica to a newer state, in order.
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
