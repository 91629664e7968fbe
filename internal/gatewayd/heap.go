package gatewayd

import (
	"runtime/debug"
	"runtime/metrics"
	"time"

	"quaybarrow/internal/clock"
)

// Bounds of the memory that a host holds beyond its live heap. A heap of a few MB may double or triple
// between collections: that is little memory, and collections are expensive on a fifth of a core. With
// ten thousand endpoints listed, the same growth would be tens of MB on each of a thousand hosts.
const (
	// maxHeapGrowth is the approximate growth of the heap between collections, in bytes.
	maxHeapGrowth = 8 << 20
	// minGCPercent and maxGCPercent bound the growth, in percent of the live heap.
	minGCPercent = 40
	maxGCPercent = 200
	// maxFreeBytes is how much free heap memory a host keeps: reading the whole list of endpoints takes
	// several times the memory that the list then occupies, and the runtime returns the rest slowly.
	maxFreeBytes = 8 << 20
	// freeInterval is the shortest time between returns of memory to the operating system; each one runs a
	// full collection.
	freeInterval = 20 * time.Second
)

// Names of the runtime metrics, in bytes.
const (
	metricHeapLive = "/gc/heap/live:bytes"
	metricHeapFree = "/memory/classes/heap/free:bytes"
)

// heapTuner keeps a host's memory close to its live heap.
type heapTuner struct {
	samples   []metrics.Sample
	percent   int
	lastFreed clock.Instant
}

func newHeapTuner() *heapTuner {
	return &heapTuner{samples: []metrics.Sample{{Name: metricHeapLive}, {Name: metricHeapFree}}, percent: maxGCPercent}
}

// tune sets the GC percentage that suits the live heap, and returns free memory to the operating system.
func (h *heapTuner) tune() {
	metrics.Read(h.samples)
	live, free := h.samples[0].Value.Uint64(), h.samples[1].Value.Uint64()
	if percent := gcPercentFor(live); percent != h.percent {
		h.percent = percent
		debug.SetGCPercent(percent)
	}
	if free > maxFreeBytes && clock.Since(h.lastFreed) > freeInterval {
		h.lastFreed = clock.Now()
		debug.FreeOSMemory()
	}
}

// gcPercentStep is the granularity of the GC percentage.
const gcPercentStep = 20

// gcPercentFor returns how much the heap may grow between collections, in percent of the live heap.
func gcPercentFor(live uint64) int {
	percent := int(maxHeapGrowth * 100 / max(live, 1))
	return min(max(percent/gcPercentStep*gcPercentStep, minGCPercent), maxGCPercent)
}
