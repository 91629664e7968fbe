package recent_test

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"quaybarrow/internal/recent"
)

func TestQuantiles(t *testing.T) {
	cases := map[string]struct {
		values []float64
		q      float64
		want   float64
	}{
		"no values":                {nil, 0.5, 0},
		"single value":             {[]float64{3}, 0.9, 3},
		"low quantile of few":      {[]float64{5, 2, 9}, 0.2, 2},
		"median":                   {[]float64{5, 2, 9}, 0.5, 5},
		"maximum":                  {[]float64{5, 2, 9}, 1, 9},
		"minimum of the last four": {[]float64{1, 1, 1, 7, 8, 9, 10}, 0, 7},
		"median of the last four":  {[]float64{1, 1, 1, 7, 8, 9, 10}, 0.5, 9},
	}
	for name, c := range cases {
		v := recent.New(4)
		for _, value := range c.values {
			v.Add(value)
		}
		if got := v.Quantile(c.q); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
		if v.Seen() != len(c.values) {
			t.Errorf("%s: Seen is %d", name, v.Seen())
		}
	}
}

// TestKeepsLastValues compares Values with a plain list.
func TestKeepsLastValues(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 9).Draw(t, "most")
		list, v := rapid.SliceOf(rapid.Float64Range(0, 100)).Draw(t, "values"), recent.New(limit)
		for _, value := range list {
			v.Add(value)
		}
		last := list[max(0, len(list)-limit):]
		if len(last) > 0 && (v.Quantile(0) != slices.Min(last) || v.Quantile(1) != slices.Max(last)) {
			t.Fatalf("%v to %v of %v", v.Quantile(0), v.Quantile(1), last)
		}
	})
}
