package measure

import (
	"fmt"
	"math"
	"runtime"
)

// fit is a straight line through measured points.
type fit struct{ slope, base, residual float64 }

// fitOf fits a line by least squares; the residual is the largest distance of a
// point from it, as a part of the largest value.
func fitOf(x, y []float64) fit {
	n := float64(len(x))
	var sx, sy, sxx, sxy float64
	for i := range x {
		sx, sy = sx+x[i], sy+y[i]
		sxx, sxy = sxx+x[i]*x[i], sxy+x[i]*y[i]
	}
	f := fit{}
	if d := n*sxx - sx*sx; d != 0 {
		f.slope = (n*sxy - sx*sy) / d
	}
	f.base = (sy - f.slope*sx) / n
	largest := 0.0
	for i := range x {
		f.residual = math.Max(f.residual, math.Abs(y[i]-f.base-f.slope*x[i]))
		largest = math.Max(largest, math.Abs(y[i]))
	}
	if largest > 0 {
		f.residual /= largest
	}
	return f
}

// text formats the line with its unit.
func (f fit) text(unit, per string) string {
	return fmt.Sprintf("Fit: %.4g %s per %s + %.4g %s; largest residual %.0f%%.", f.slope, unit, per, f.base, unit, 100*f.residual)
}

// heap is the memory in use after a collection.
func heap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
