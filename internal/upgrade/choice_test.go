package upgrade

import (
	"testing"

	. "github.com/onsi/gomega"
)

// choices are states of an order for v2, and the versions that a request may run on.
var choices = map[string]struct {
	choice
	v1, v2, v3 bool
}{
	"a key of the others":                                {choice{base: "v1", counts: map[string]int{"v1": 3, "v2": 3, "v3": 1}}, true, false, false},
	"a key of the target":                                {choice{base: "v1", keyOnTarget: true, counts: map[string]int{"v1": 3, "v2": 3}}, false, true, false},
	"a key of the target, which has no endpoint":         {choice{base: "v1", keyOnTarget: true, counts: map[string]int{"v1": 3}}, true, false, false},
	"the target is in use":                               {choice{base: "v2", counts: map[string]int{"v2": 3}}, false, true, false},
	"the target is in use, beside others":                {choice{base: "v2", counts: map[string]int{"v1": 1, "v2": 3}}, false, true, false},
	"the target is in use and was called bad":            {choice{base: "v2", withdrawn: true, counts: map[string]int{"v2": 3}}, false, true, false},
	"the target is in use and gone for a moment":         {choice{base: "v2", counts: map[string]int{"v3": 3}}, false, true, false},
	"the target is in use and gone for long":             {choice{base: "v2", baseGone: true, counts: map[string]int{"v3": 3}}, true, false, true},
	"unknown version in use, only the target is there":   {choice{rowsKnown: true, counts: map[string]int{"v2": 3}}, false, true, false},
	"unknown version in use, others are there":           {choice{rowsKnown: true, counts: map[string]int{"v1": 1, "v2": 3}}, true, false, true},
	"unknown version in use, unknown progress":           {choice{counts: map[string]int{"v2": 3}}, true, false, true},
	"unknown endpoints":                                  {choice{rowsKnown: true}, true, false, true},
	"the version in use is gone":                         {choice{base: "v1", rowsKnown: true, counts: map[string]int{"v2": 3}}, true, false, true},
	"the version in use is gone, and the time is over":   {choice{base: "v1", rowsKnown: true, timeOver: true, counts: map[string]int{"v2": 3}}, false, true, false},
	"the version in use is gone, and the target was bad": {choice{base: "v1", rowsKnown: true, timeOver: true, withdrawn: true, counts: map[string]int{"v2": 3}}, true, false, true},
	"the version in use is gone, and a third is there":   {choice{base: "v1", rowsKnown: true, counts: map[string]int{"v2": 3, "v3": 1}}, true, false, true},
}

// TestVersionsThatServe guards against a service whose requests are refused though endpoints may serve them,
// and against requests to a version that was found bad.
func TestVersionsThatServe(t *testing.T) {
	for name, c := range choices {
		t.Run(name, func(t *testing.T) {
			RegisterTestingT(t)
			c.target = "v2"
			allowed := c.allowed()
			Expect([]bool{allowed("v1"), allowed("v2"), allowed("v3")}).To(Equal([]bool{c.v1, c.v2, c.v3}))
		})
	}
}
