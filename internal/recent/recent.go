// Package recent keeps the most recent values of a measurement and computes their quantiles.
//
// # Usage
//
//	v := recent.New(32)
//	v.Add(0.12)
//	if v.Seen() >= 4 {
//		low := v.Quantile(0.2)
//		...
//	}
package recent

import "slices"

// Values holds the most recent values of a measurement.
type Values struct {
	values []float64 // in no particular order
	limit  int
	added  int
}

// New returns an empty Values that keeps at most limit values.
func New(limit int) *Values { return &Values{limit: limit} }

// Add adds a value; when the limit is reached, it replaces the oldest one.
func (v *Values) Add(value float64) {
	if len(v.values) < v.limit {
		v.values = append(v.values, value)
	} else {
		v.values[v.added%v.limit] = value
	}
	v.added++
}

// Seen returns the number of values added, including those replaced since.
func (v *Values) Seen() int { return v.added }

// Quantile returns the q-quantile of the kept values. It does not interpolate: with few values a low
// quantile is the smallest value. It returns 0 if there are no values.
func (v *Values) Quantile(q float64) float64 {
	if len(v.values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(v.values))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
