package soak

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// repeatCases are requests and repeats, spread over a time, and whether the repeats are allowed.
var repeatCases = map[string]struct {
	requests, repeats int
	over              time.Duration
	allowed           bool
}{
	"the reserve without other requests": {1, 54, time.Second, true},
	"one more":                           {1, 55, time.Second, false},
	"nine in ten and the reserve":        {100, 144, 8 * time.Second, true},
	"two more":                           {100, 146, 8 * time.Second, false},
	"as many again over a longer time":   {300, 300, 30 * time.Second, true},
}

var _ = Describe("repeats of a service", func() {
	for name, c := range repeatCases {
		It("are counted over all hosts: "+name, func() {
			began := time.Now()
			var receipts []receipt
			for i := range c.requests {
				receipts = append(receipts, receipt{fmt.Sprint(i), began.Add(c.over * time.Duration(i) / time.Duration(c.requests))})
			}
			for i := range c.repeats {
				receipts = append(receipts, receipt{"0", began.Add(c.over * time.Duration(i) / time.Duration(c.repeats))})
			}
			repeats, allowed, _ := mostRepeats(receipts)
			Expect(repeats <= allowed).To(Equal(c.allowed))
		})
	}
})
