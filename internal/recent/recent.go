// Package recent keeps the last values of a measure and tells their quantiles.
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

// Values are the last values of a measure, in no order.
type Values struct {
	values []float64
	limit  int
	added  int
}

// New returns a keeper of so many values, without any.
func New(limit int) *Values { return &Values{limit: limit} }

// Add takes in a value in place of the oldest one, once there are as many as are kept.
func (v *Values) Add(value float64) {
	if len(v.values) < v.limit {
		v.values = append(v.values, value)
	} else {
		v.values[v.added%v.limit] = value
	}
	v.added++
}

// Seen counts the values that were added, kept ones and others.
func (v *Values) Seen() int { return v.added }

// Quantile returns the value that a part of the kept ones is below, the least one
// while there are few; 0 without any.
func (v *Values) Quantile(q float64) float64 {
	if len(v.values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(v.values))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
