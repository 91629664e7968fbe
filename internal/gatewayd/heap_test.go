package gatewayd

import "testing"

// gcPercentCases are sizes of the live heap, in MB, and the growth that they allow, in percent.
var gcPercentCases = map[string]struct {
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
	for name, c := range gcPercentCases {
		t.Run(name, func(t *testing.T) {
			if got := gcPercentFor(c.live << 20); got != c.percent {
				t.Errorf("%d, expected %d", got, c.percent)
			}
		})
	}
}
