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
	r := newReplica()
	for _, row := range state.Rows {
		r.put(row)
	}
	r.version = state.Version
	r.writes, r.writesCompleteAfter = nil, r.latestVersion
	return r
}

func (r *replica) put(row store.Row) {
	r.recordWrite(row)
	r.latestVersion = max(r.latestVersion, row.Version)
	if _, ok := r.rows[row.Key]; !ok {
		r.keyHash ^= xxhash.Sum64String(row.Key)
	}
	r.rows[row.Key] = row
}

func (r *replica) remove(c store.Change) {
	r.latestVersion = max(r.latestVersion, c.Version)
	if _, ok := r.rows[c.Key]; !ok {
		return
	}
	r.keyHash ^= xxhash.Sum64String(c.Key)
	delete(r.rows, c.Key)
	r.removed = append(r.removed, c)
	if most := r.historyLimit(); len(r.removed) > 2*most {
		r.removed = append([]store.Change(nil), r.removed[len(r.removed)-most:]...)
	}
}

// historyLimit returns how many removals and how many writes are kept at least. Each list is cut
// back to it when it exceeds twice that length.
func (r *replica) historyLimit() int {
	return max(minHistory, int(historyFraction*float64(len(r.rows))))
}

// recordWrite records that a row was written.
func (r *replica) recordWrite(row store.Row) {
	if row.Version < r.latestVersion {
		r.writes, r.writesCompleteAfter = nil, r.latestVersion // out of order: earlier writes may be missing
		return
	}
	r.writes = append(r.writes, rowWrite{row.Key, row.Version})
	if most := r.historyLimit(); len(r.writes) > 2*most {
		excess := len(r.writes) - most
		r.writesCompleteAfter = r.writes[excess-1].version
		r.writes = append([]rowWrite(nil), r.writes[excess:]...)
	}
}

// apply applies changes and advances the replica to a version.
func (r *replica) apply(changes []store.Change, version int64) {
	for _, c := range changes {
		if c.Deleted {
			r.remove(c)
		} else {
			r.put(c.Row)
		}
	}
	r.version = max(r.version, version)
}

// changesSince returns the changes after a version in order, or all rows if after is -1. Removals
// that are no longer kept are missing from it; a host that missed one detects that by the key hash.
func (r *replica) changesSince(after int64) []store.Change {
	if after >= r.latestVersion {
		return nil
	}
	changes := r.writtenSince(after)
	for _, c := range r.removed {
		if _, present := r.rows[c.Key]; after >= 0 && c.Version > after && !present {
			changes = append(changes, c)
		}
	}
	sortChanges(changes)
	return changes
}

// writtenSince returns the rows written after a version. It uses the recorded writes if they reach
// back that far, since a reader gets requests for a few changes many times a second.
func (r *replica) writtenSince(after int64) []store.Change {
	var changes []store.Change
	if after < r.writesCompleteAfter {
		for _, row := range r.rows {
			if row.Version > after {
				changes = append(changes, store.Change{Row: row})
			}
		}
		return changes
	}
	from, _ := slices.BinarySearchFunc(r.writes, after+1, func(w rowWrite, version int64) int { return cmp.Compare(w.version, version) })
	for _, w := range r.writes[from:] {
		if row, ok := r.rows[w.key]; ok && row.Version == w.version {
			changes = append(changes, store.Change{Row: row})
		}
	}
	return changes
}

// state returns the whole table.
func (r *replica) state() store.State {
	state := store.State{Version: r.version, Rows: make([]store.Row, 0, len(r.rows))}
	for _, row := range r.rows {
		state.Rows = append(state.Rows, row)
	}
	return state
}

// diff returns the changes that lead from the replica to a newer state, in order.
func (r *replica) diff(state store.State) []store.Change {
	var changes []store.Change
	present := map[string]bool{}
	for _, row := range state.Rows {
		present[row.Key] = true
		if r.rows[row.Key].Version != row.Version {
			changes = append(changes, store.Change{Row: row})
		}
	}
	for key := range r.rows {
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
