package place_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"quaybarrow/internal/declare"
	"quaybarrow/internal/place"
)

var ref = declare.Ref{Model: "m", Version: "1"}

func endpoints(loads ...int) []place.Endpoint {
	list := make([]place.Endpoint, len(loads))
	for i, l := range loads {
		list[i] = place.Endpoint{
			ID: fmt.Sprintf("e%d", i), Hash: uint64(i+1) * 0x9e3779b97f4a7c15, Slots: 10, InFlight: l, Ready: true, Slow: 1, Versions: []declare.Ref{ref},
		}
	}
	return list
}

var _ = Describe("placement", func() {
	It("takes the less loaded of two", func() {
		Expect(place.Pick(endpoints(9, 1), place.Ask{Version: ref}, 0)).To(Equal(1))
		Expect(place.Pick(endpoints(1, 9), place.Ask{Version: ref}, 0)).To(Equal(0))
	})

	It("never takes one that does not fit", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			list := endpoints(rapid.SliceOfN(rapid.IntRange(0, 20), 1, 12).Draw(t, "loads")...)
			for i := range list {
				list[i].Ready = rapid.Bool().Draw(t, "ready")
				if rapid.Bool().Draw(t, "other") {
					list[i].Versions = []declare.Ref{{Model: "x", Version: "1"}}
				}
			}
			ask := place.Ask{Version: ref, Avoid: []string{"e0"}, Prefix: 7}
			i := place.Pick(list, ask, rapid.Float64Range(0, 0.999).Draw(t, "random"))
			if i >= 0 && !ask.Fits(list[i]) {
				t.Fatalf("took %d", i)
			}
			for j := range list {
				if i < 0 && ask.Fits(list[j]) {
					t.Fatalf("took none although %d fits", j)
				}
			}
		})
	})

	It("sends a prefix home whatever is drawn, and elsewhere while its homes are overloaded", func() {
		list := endpoints(2, 2, 2, 2, 2, 2)
		ask := place.Ask{Version: ref, Prefix: 12345}
		home := place.Pick(list, ask, 0)
		for _, draw := range []float64{0.1, 0.5, 0.9} {
			Expect(place.Pick(list, ask, draw)).To(Equal(home))
		}
		list[home].InFlight = 30
		second := place.Pick(list, ask, 0)
		Expect(second).NotTo(Equal(home))
		Expect(place.Pick(list, ask, 0.9)).To(Equal(second))
		list[second].InFlight = 30
		Expect(place.Pick(list, ask, 0)).NotTo(BeElementOf(home, second))
		Expect(place.Pick(list, ask, 0.4)).NotTo(BeElementOf(home, second))
	})

	It("trusts a report less the older it is, and its own count always", func() {
		list := endpoints(0, 3)
		list[0].Reported, list[0].Age = 8, 0
		Expect(place.Pick(list, place.Ask{Version: ref}, 0)).To(Equal(1))
		list[0].Age = time.Minute
		Expect(place.Pick(list, place.Ask{Version: ref}, 0)).To(Equal(0))
	})
})

func benchmark(b *testing.B, count int) {
	loads := make([]int, count)
	for i := range loads {
		loads[i] = i % 10
	}
	list := endpoints(loads...)
	ask := place.Ask{Version: ref, Hall: "h", Prefix: 3}
	b.ReportAllocs()
	for b.Loop() {
		if place.Pick(list, ask, 0.3) < 0 {
			b.Fatal("none")
		}
	}
}

func BenchmarkPick20Workers(b *testing.B)   { benchmark(b, 20) }
func BenchmarkPick32Watched(b *testing.B)   { benchmark(b, 32) }
func BenchmarkPick1000Workers(b *testing.B) { benchmark(b, 1000) }
