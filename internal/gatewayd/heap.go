package gatewayd

import (
	"runtime/debug"
	"runtime/metrics"
	"time"

	"quaybarrow/internal/clock"
)

// Bounds of the memory that a host has beyond what it uses. With a heap of a few MB, which may
// double and triple between collections, that is little, and collections are dear on a fifth of a
// core; with a list of ten thousand endpoints it would be tens of MB on each of a thousand hosts.
const (
	// garbageMost is about how much the heap grows between collections, in bytes.
	garbageMost = 8 << 20
	// collectLeast and collectPercent bound the growth as a part of what is in use, in parts
	// of a hundred.
	collectLeast   = 40
	collectPercent = 200
	// freeMost is how much free memory a host keeps, in bytes: a whole list that is read takes
	// several times what is left of it, and the runtime gives that back slowly.
	freeMost = 8 << 20
	// freeEvery is how often memory is given back at most; each time is a whole collection.
	freeEvery = 20 * time.Second
)

// Names of the runtime's figures, in bytes.
const (
	figureLive = "/gc/heap/live:bytes"
	figureFree = "/memory/classes/heap/free:bytes"
)

// heap keeps a host's memory near what it uses.
type heap struct {
	figures []metrics.Sample
	percent int
	freed   clock.Instant
}

func newHeap() *heap {
	return &heap{figures: []metrics.Sample{{Name: figureLive}, {Name: figureFree}}, percent: collectPercent}
}

// tend has the runtime collect as often as suits what is in use, and give back what is not.
func (h *heap) tend() {
	metrics.Read(h.figures)
	live, free := h.figures[0].Value.Uint64(), h.figures[1].Value.Uint64()
	if percent := percentFor(live); percent != h.percent {
		h.percent = percent
		debug.SetGCPercent(percent)
	}
	if free > freeMost && clock.Since(h.freed) > freeEvery {
		h.freed = clock.Now()
		debug.FreeOSMemory()
	}
}

// percentStep is the grain of the growth: it follows what is in use in steps.
const percentStep = 20

// percentFor is how much the heap may grow between collections, in parts of a hundred of what is
// in use.
func percentFor(live uint64) int {
	percent := int(garbageMost * 100 / max(live, 1))
	return min(max(percent/percentStep*percentStep, collectLeast), collectPercent)
}
