package fleet_test

import (
	"fmt"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/fleet"
)

var _ = Describe("endpoints that share their machines with others", func() {
	// fleetWithPaces returns a fleet whose first endpoint has reported the paces, while the others
	// report the usual pace.
	fleetWithPaces := func(key uint64, paces ...float64) *fleet.Fleet {
		f := fleet.New(fleet.Options{Hall: "h"})
		for i := range 4 {
			f.Put(fleet.Endpoint{ID: fmt.Sprint("e", i), Service: "s", Hall: "h", Slots: 8})
		}
		for i, pace := range paces {
			for other := range 4 {
				h, ok := f.PickAt(fleet.Advice{Endpoint: fmt.Sprint("e", other)}, fleet.Request{Service: "s", Key: key, Tokens: 4000})
				Expect(ok).To(BeTrue(), "report %d", i)
				load := fleet.Load{Running: 1, Slots: 8, Pace: 1}
				if other == 0 {
					load.Pace = pace
				}
				h.Head(load)
				h.Done(fleet.Result{Outcome: fleet.OutcomeGood, Load: load})
			}
		}
		return f
	}
	// countAtFirst counts how many of some requests go to the first endpoint.
	countAtFirst := func(f *fleet.Fleet, key uint64) int {
		n := 0
		for range 40 {
			h, ok := f.Pick(fleet.Request{Service: "s", Key: key, Tokens: 4000})
			Expect(ok).To(BeTrue())
			if h.Endpoint.ID == "e0" {
				n++
			}
			h.Done(fleet.Result{Outcome: fleet.OutcomeGood})
		}
		return n
	}
	slow := make([]float64, 20)
	for i := range slow {
		slow[i] = 5
	}

	for name, key := range map[string]uint64{"requests without a prompt": 0, "requests with a prompt": 7} {
		It("get fewer "+name+" while work takes long there", func() {
			Expect(countAtFirst(fleetWithPaces(key, slow...), key)).To(BeZero())
		})
	}

	It("are used again once work takes the usual time", func() {
		back := append(slices.Clone(slow), make([]float64, 60)...)
		for i := len(slow); i < len(back); i++ {
			back[i] = 1
		}
		Expect(countAtFirst(fleetWithPaces(0, back...), 0)).To(BeNumerically(">", 0))
	})
})
