package spread

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"quaybarrow/internal/store"
)

// TestMassRemovalIsReported removes a seventh of a large table at the same moment. A host that asks
// from before the removals receives each of them, and does not need to read the whole table.
func TestMassRemovalIsReported(t *testing.T) {
	for _, count := range []int{300, 10_000, 20_000} {
		source := newReplica()
		for i := range count {
			source.apply([]store.Change{{Row: store.Row{Key: fmt.Sprint("e", i), Version: int64(i + 1)}}}, int64(i+1))
		}
		host := newCachedTable()
		host.replace(tableUpdate{changes: source.changesSince(-1), version: source.version})
		version := source.version
		for i := range count / 7 {
			version++
			source.apply([]store.Change{{Row: store.Row{Key: fmt.Sprint("e", 7*i), Version: version}, Deleted: true}}, version)
		}
		changes := source.changesSince(host.version())
		if len(changes) != count/7 {
			t.Errorf("%d rows: %d removals reported, want %d", count, len(changes), count/7)
		}
		if !host.apply(tableUpdate{changes: changes, version: version, keyHash: source.keyHash, hasKeyHash: true}) {
			t.Errorf("%d rows: a removal was missed", count)
		}
	}
}

// TestChangesOfLongTables compares the reported changes with the rows of the table while older
// changes are dropped from the history.
func TestChangesOfLongTables(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	p, version := newReplica(), int64(0)
	for range 6_000 {
		version++
		p.apply([]store.Change{{Row: store.Row{Key: fmt.Sprint("e", random.IntN(1_500)), Version: version}, Deleted: random.IntN(5) == 0}}, version)
		if random.IntN(20) > 0 {
			continue
		}
		after := version - int64(random.IntN(3_000))
		var reported, want []string
		for _, c := range p.changesSince(after) {
			if !c.Deleted {
				reported = append(reported, c.Key)
			}
		}
		for key, row := range p.rows {
			if row.Version > after {
				want = append(want, key)
			}
		}
		slices.Sort(reported)
		slices.Sort(want)
		if !slices.Equal(reported, want) {
			t.Fatalf("after version %d of %d: %d rows reported, want %d", after, version, len(reported), len(want))
		}
	}
}

func benchmarkSince(b *testing.B, count int) {
	p := newReplica()
	for i := range count {
		p.apply([]store.Change{{Row: store.Row{Key: fmt.Sprint("e", i), Version: int64(i + 1)}}}, int64(i+1))
	}
	b.ReportAllocs()
	for b.Loop() {
		if len(p.changesSince(p.version-5)) != 5 {
			b.Fatal("wrong changes")
		}
	}
}

// A lookup of a few changes among 10,000 rows took 110 us when it scanned all rows.
func BenchmarkSince1000(b *testing.B)  { benchmarkSince(b, 1_000) }
func BenchmarkSince10000(b *testing.B) { benchmarkSince(b, 10_000) }
