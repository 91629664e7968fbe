package gateway

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// startsWithLargest returns how many of a thousand requests start with the largest model.
func startsWithLargest(b *firstModels, route string) int {
	n := 0
	for range 1000 {
		if b.startWithLargest(route) {
			n++
		}
	}
	return n
}

var gainCases = map[string]struct {
	gains         []float64 // of each response of the smallest model in turn
	responses     int
	startsLargest bool
}{
	"the largest is better each time":  {[]float64{0.2}, 40, true},
	"the smallest is better each time": {[]float64{-0.2}, 40, false},
	"the largest is hardly better":     {[]float64{0.01}, 40, false},
	"each is better in turn":           {[]float64{0.2, -0.25}, 200, false},
	"the largest is mostly better":     {[]float64{0.3, 0.3, 0.3, -0.2}, 200, true},
	"there are few responses":          {[]float64{0.2}, 10, false},
}

var _ = Describe("the choice of the first model", func() {
	for name, l := range gainCases {
		It("is made by route where "+name, func() {
			b := newFirstModels()
			for i := range l.responses {
				b.record("r", l.gains[i%len(l.gains)])
			}
			if !l.startsLargest {
				Expect(startsWithLargest(b, "r")).To(BeZero())
				return
			}
			Expect(startsWithLargest(b, "r")).To(BeNumerically("~", 900, 60), "a tenth of the requests still start with the smallest")
			Expect(startsWithLargest(b, "other")).To(BeZero())
		})
	}

	It("changes back when the smallest model becomes better", func() {
		b := newFirstModels()
		for range 50 {
			b.record("r", 0.3)
		}
		for range 60 {
			b.record("r", -0.3)
		}
		Expect(startsWithLargest(b, "r")).To(BeZero())
	})
})

var _ = Describe("the size of a request", func() {
	It("is relative to the mean of its route", func() {
		s := newRequestSizes()
		Expect(s.relative("r", 1000, 100)).To(Equal(1.0))
		for i := range 500 {
			s.relative("r", 1000+i%3, 100)
			s.relative("other", 10, 1)
		}
		Expect(s.relative("r", 4000, 400)).To(BeNumerically("~", 4, 0.2))
		Expect(s.relative("r", 500, 50)).To(BeNumerically("~", 0.5, 0.05))
	})

	It("is 1 if token counts are unknown", func() {
		s := newRequestSizes()
		for i := range 3 {
			Expect(s.relative(fmt.Sprint(i), 0, 0)).To(Equal(1.0))
		}
	})
})
