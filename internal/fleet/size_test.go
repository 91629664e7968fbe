package fleet_test

import (
	"fmt"
	"runtime"
	"testing"

	"quaybarrow/internal/fleet"
)

// endpointList returns endpoints in five data halls. The strings of each entry are allocated
// separately, as they are when entries are decoded.
func endpointList(count int) []fleet.Endpoint {
	list := make([]fleet.Endpoint, count)
	for i := range list {
		name := fmt.Sprintf("i-%010x", i)
		list[i] = fleet.Endpoint{
			ID: name, Instance: name, Service: fmt.Sprint("model-", "pool"), Address: fmt.Sprintf("10.%d.%d.%d:8600", i%5, i/5%250, i/1250),
			Hall: fmt.Sprint("hall-", i%5), Version: fmt.Sprint("v", 1), Slots: 24,
		}
	}
	return list
}

// heapSize returns the heap that a value takes, in bytes.
func heapSize(make func() any) uint64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	value := make()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(value)
	return after.HeapAlloc - before.HeapAlloc
}

// maxHeap bounds the heap that a typical host's knowledge of 10,000 endpoints takes, in bytes.
const maxHeap = 8 << 20

// TestHeapOfManyEndpoints lists 10,000 endpoints, of which a host uses some.
func TestHeapOfManyEndpoints(t *testing.T) {
	list := endpointList(10_000)
	took := heapSize(func() any {
		f := fleet.New(fleet.Options{Hall: "hall-0"})
		f.Reset(list, false)
		for i := range 200 {
			h, ok := f.Pick(fleet.Request{Service: "model-pool", Key: uint64(i + 1), Model: "m", Tokens: 6000, SharedTokens: 5000})
			if !ok {
				t.Fatal("no endpoint")
			}
			h.Head(fleet.Load{Running: 1, Slots: 24})
			h.Done(fleet.Result{Outcome: fleet.OutcomeGood})
		}
		return f
	})
	t.Logf("%.1f MB", float64(took)/(1<<20))
	if took > maxHeap {
		t.Errorf("%d bytes, want at most %d", took, maxHeap)
	}
}
