package share_test

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/share"
	"quaybarrow/internal/standin/suite"
)

// sortedByRank returns hosts in the order of the rig's service.
func sortedByRank(hosts []string) []string {
	return slices.SortedFunc(slices.Values(hosts), func(a, b string) int {
		return cmp.Compare(share.Rank(rigService, a), share.Rank(rigService, b))
	})
}

const (
	loadBegins = 3
	loadEnds   = 13
	playEnds   = 18
)

// overload is a load of 0.5 of the endpoints' capacity, of which one workspace multiplies its part.
func overload() load {
	return load{workspaces: 8, usual: 75, from: loadBegins * time.Second, to: loadEnds * time.Second, lasts: playEnds * time.Second}
}

func playOf(hosts int, seed uint64, change func(*rig, *load)) *rig {
	var r *rig
	suite.Paused(func() {
		r = newRig(hosts, seed)
		l := overload()
		change(r, &l)
		r.play(l)
	})
	return r
}

func unchanged(*rig, *load) {}

func withoutHeavyLoad(_ *rig, l *load) { l.to = l.from }

// report prints figures of a play with the spec, by second if it fails.
func report(r *rig) {
	for i := range r.results {
		GinkgoWriter.Printf("%d: %+v\n", i, r.tally(i, i+1))
	}
	GinkgoWriter.Println(r.log)
}

var _ = Describe("one workspace that sends 25 times its usual load", func() {
	for _, hosts := range []int{63, 86} {
		for _, estimate := range []float64{1, 0.5, 3} {
			It(fmt.Sprintf("takes nothing from others, with %d hosts and estimates of work of %v of the real one", hosts, estimate), func() {
				change := func(_ *rig, l *load) { l.estimate = estimate }
				usual := playOf(hosts, 1, withoutHeavyLoad).tally(loadBegins, loadEnds)
				r := playOf(hosts, 1, change)
				report(r)
				all, afterFirst, after := r.tally(loadBegins, loadEnds), r.tally(loadBegins+1, loadEnds), r.tally(loadEnds+2, playEnds)
				AddReportEntry("figures", fmt.Sprintf("usual %+v, load %+v, after its first second %+v", usual, all, afterFirst))
				Expect(usual.othersRefused + usual.heavyRefused).To(BeZero())
				Expect(float64(all.othersInTime)/float64(all.othersOffered)).To(BeNumerically(">=", 0.9*float64(usual.othersInTime)/float64(usual.othersOffered)))
				Expect(float64(afterFirst.rejections)).To(BeNumerically("<", 0.05*float64(afterFirst.arrivals)))
				Expect(after.othersRefused + after.heavyRefused).To(BeZero())
			})
		}
	}
})
