package spread

import (
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"

	"quaybarrow/internal/store"
)

// TestPicturesAgreeOrShowIt lets a host follow another one from any version that it has, while rows
// are written and removed and both drop old removals from their history. After each update the host
// has the same rows, or the key hash shows that it has not. The test is named after its stored
// failure in testdata/rapid.
func TestPicturesAgreeOrShowIt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source, version := newReplica(), int64(0)
		host := &cachedTable{replica: newReplica(), loaded: true}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				version++
				source.apply([]store.Change{drawChange(t, version)}, version)
			case 2:
				source.removed = source.removed[rapid.IntRange(0, len(source.removed)).Draw(t, "forgotten"):]
			default:
				after := host.version()
				update := tableUpdate{changes: source.changesSince(after), version: source.version, keyHash: source.keyHash, hasKeyHash: true}
				same := host.apply(update)
				equal := maps.EqualFunc(host.replica.rows, source.rows, sameRow)
				if same && !equal {
					t.Fatalf("rows differ, and the key hash does not show it")
				}
				if !same {
					host.replace(tableUpdate{changes: source.changesSince(-1), version: source.version})
				}
				if !maps.EqualFunc(host.replica.rows, source.rows, sameRow) {
					t.Fatalf("rows differ after the whole table was read")
				}
			}
		}
	})
}

// drawChange draws a write or removal of one of a few rows.
func drawChange(t *rapid.T, version int64) store.Change {
	key := fmt.Sprint("k", rapid.IntRange(0, 5).Draw(t, "key"))
	return store.Change{
		Row:     store.Row{Key: key, Version: version, Value: []byte(fmt.Sprint(version))},
		Deleted: rapid.Bool().Draw(t, "removed"),
	}
}

func sameRow(a, b store.Row) bool {
	return a.Version == b.Version && string(a.Value) == string(b.Value)
}

// TestOlderUpdateIsIgnored checks that a host does not return to an older version.
func TestOlderUpdateIsIgnored(t *testing.T) {
	host := newCachedTable()
	host.replace(tableUpdate{version: 7, changes: []store.Change{{Row: store.Row{Key: "k", Version: 7}}}})
	old := store.Change{Row: store.Row{Key: "k", Version: 7}, Deleted: true}
	if !host.apply(tableUpdate{version: 6, changes: []store.Change{old}, hasKeyHash: true}) {
		t.Fatal("an older update counts as a missed removal")
	}
	if got := host.version(); got != 7 || len(host.replica.rows) != 1 {
		t.Fatalf("version %d, %d rows", got, len(host.replica.rows))
	}
}

// TestPackRoundTrip packs and unpacks a table after each of several changes.
func TestPackRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, table := newPacker(), newReplica()
		versions := int64(rapid.IntRange(1, 20).Draw(t, "versions"))
		for version := int64(1); version <= versions; version++ {
			table.apply([]store.Change{drawChange(t, version)}, version)
			data, err := p.pack("t", -1, tableUpdate{changes: table.changesSince(-1), version: version})
			if err != nil {
				t.Fatal(err)
			}
			rows, err := unpack(data)
			if err != nil {
				t.Fatal(err)
			}
			got := newReplica()
			for _, row := range rows {
				got.put(rowFromWire(row))
			}
			if !maps.EqualFunc(got.rows, table.rows, sameRow) {
				t.Fatalf("version %d: unpacked rows differ from the packed ones", version)
			}
		}
	})
}

func FuzzUnpack(f *testing.F) {
	data, err := newPacker().pack("t", 0, tableUpdate{changes: []store.Change{{Row: store.Row{Key: "k", Value: []byte("v")}}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte("no gzip"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if rows, err := unpack(data); err != nil && rows != nil {
			t.Fatal("unpack returned rows with an error")
		}
	})
}

// TestLargeHallsPreferTheirOwnHosts checks the order of hosts for small and for large data halls.
func TestLargeHallsPreferTheirOwnHosts(t *testing.T) {
	listed := func(count int) map[string]entry {
		entries := map[string]entry{}
		for i := range count {
			for _, hall := range []string{"ikeja", "lekki"} {
				entries[fmt.Sprint(hall, "-", i)] = entry{Address: fmt.Sprint(hall, i), Hall: hall, Cores: 0.2}
			}
		}
		entries["lekki-large"] = entry{Address: "large", Hall: "lekki", Cores: 0.8}
		return entries
	}
	first := askOrder(listed(10), "ikeja-3", "ikeja")[0]
	if first.name != "lekki-large" {
		t.Errorf("small data halls: %s comes first", first.name)
	}
	ranked := askOrder(listed(60), "ikeja-3", "ikeja")
	for i, q := range ranked[:60] {
		if q.otherHall {
			t.Fatalf("large data halls: %s of another hall comes at place %d", q.name, i)
		}
	}
	if ranked[60].name != "lekki-large" {
		t.Errorf("hosts of other halls: %s comes first", ranked[60].name)
	}
}
