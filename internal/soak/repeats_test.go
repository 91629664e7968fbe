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

// timeCases are the time that an endpoint got, how long after its caller had sent the request, and whether that is
// too much.
var timeCases = map[string]struct {
	left, after time.Duration
	over        bool
}{
	"what is left":                        {10 * time.Second, 5 * time.Second, false},
	"less":                                {time.Second, time.Second, false},
	"half a second more":                  {15500 * time.Millisecond, 0, false},
	"all of it, a second later":           {15 * time.Second, time.Second, true},
	"more than the caller had":            {16 * time.Second, 0, true},
	"what was left when it went at first": {14 * time.Second, 3 * time.Second, true},
}

var _ = Describe("the time that endpoints get", func() {
	for name, c := range timeCases {
		It("is compared with what the caller has left: "+name, func() {
			sent := time.Now()
			Expect(exceedsTime(c.left, sent, sent.Add(c.after))).To(Equal(c.over))
		})
	}
})
