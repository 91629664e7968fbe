package quarantine

import (
	"testing"
	"time"
)

// BenchmarkNoteAnswered measures what an answer that ends whole costs while nothing has crashed: two
// parts are hashed and kept. Before, it cost nothing.
func BenchmarkNoteAnswered(b *testing.B) {
	a := newAnsweredParts()
	b.ReportAllocs()
	for b.Loop() {
		a.note([]Part{NewPart("ofi-model", "5c1e07a2"), NewPart("ofi-model", "91bd3f06")}, time.Second)
	}
}

// BenchmarkAttributeParts measures the verdict on parts over 60 crashes with 40 parts each, one of them
// at 12, which is made when evidence changes. Before, all parts were assessed: 11.1 ms and 16,516
// allocations. Since, those that are at enough crashes: 3.0 ms and 77.
func BenchmarkAttributeParts(b *testing.B) {
	var crashes []Crash
	for i := range 60 {
		parts := map[Fingerprint]PartRun{}
		for n := range 40 {
			parts[fingerprintOf(uint64(i*37+n))] = PartRun{Requests: []uint32{uint32(n)}} //nolint:gosec // small numbers
		}
		if i%5 == 0 {
			parts[fingerprintOf(1<<40)] = PartRun{Requests: []uint32{uint32(i)}} //nolint:gosec // small numbers
		}
		crashes = append(crashes, Crash{Endpoint: fingerprintOf(uint64(i)).String(), At: time.Duration(i) * time.Second, Parts: parts})
	}
	b.ReportAllocs()
	for b.Loop() {
		AttributeParts(Evidence{Crashes: crashes}, PartVerdict{})
	}
}
