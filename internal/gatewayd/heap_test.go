package gatewayd

import "testing"

// growths are heaps in use, in MB, and by how much they may grow, in parts of a hundred.
var growths = map[string]struct {
	live    uint64
	percent int
}{
	"nothing":              {0, 200},
	"a few endpoints":      {3, 200},
	"as much as may grow":  {8, 100},
	"ten thousand of them": {10, 80},
	"far more":             {100, 40},
}

func TestGrowthOfTheHeap(t *testing.T) {
	for name, c := range growths {
		t.Run(name, func(t *testing.T) {
			if got := percentFor(c.live << 20); got != c.percent {
				t.Errorf("%d, expected %d", got, c.percent)
			}
		})
	}
}
