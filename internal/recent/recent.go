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
	kept []float64
	most int
	seen int
}

// New returns a keeper of so many values, without any.
func New(limit int) *Values { return &Values{most: limit} }

// Add takes in a value in place of the oldest one, once there are as many as are kept.
func (v *Values) Add(value float64) {
	if len(v.kept) < v.most {
		v.kept = append(v.kept, value)
	} else {
		v.kept[v.seen%v.most] = value
	}
	v.seen++
}

// Seen counts the values that were added, kept ones and others.
func (v *Values) Seen() int { return v.seen }

// Quantile returns the value that a part of the kept ones is below, the least one
// while there are few; 0 without any.
func (v *Values) Quantile(q float64) float64 {
	if len(v.kept) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(v.kept))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
