package spread

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"quaybarrow/internal/store"
)

// TestMassRemovalIsReported has a seventh of a large table go at the same moment: who asks from before it
// is told of each removal, and need not read the table whole.
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
			t.Errorf("%d rows: told of %d removals, %d were made", count, len(changes), count/7)
		}
		if !host.apply(tableUpdate{changes: changes, version: version, keyHash: source.keyHash, hasKeyHash: true}) {
			t.Errorf("%d rows: a removal was missed", count)
		}
	}
}

// TestChangesOfLongTables compares what is told of changes with what rows say, while older ones are
// forgotten.
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
			t.Fatalf("after %d of %d: told of %d rows, %d were written", after, version, len(reported), len(want))
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

// What a reader tells of a few changes of 10,000 rows took 110 us where it looked at all of them.
func BenchmarkSince1000(b *testing.B)  { benchmarkSince(b, 1_000) }
func BenchmarkSince10000(b *testing.B) { benchmarkSince(b, 10_000) }
