package fleet_test

import (
	"fmt"
	"runtime"
	"testing"

	"quaybarrow/internal/fleet"
)

// endpointList is a list of endpoints in five data halls, each entry with words of its own as it is
// when it was read.
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

// heapSize is what a value takes of the heap, in bytes.
func heapSize(make func() any) uint64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := make()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return after.HeapAlloc - before.HeapAlloc
}

// maxHeap is what all that a usual host knows of 10,000 endpoints may take of its heap, in
// bytes.
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
		t.Errorf("%d bytes, %d at most", took, maxHeap)
	}
}
