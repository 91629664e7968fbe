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

func playOf(hosts int, change func(*rig, *load)) *rig {
	return playOn(plain, hosts, change)
}

func playOn(k kind, hosts int, change func(*rig, *load)) *rig {
	var r *rig
	suite.Paused(func() {
		r = newRig(hosts, k)
		l := overload()
		change(r, &l)
		r.play(l)
	})
	return r
}

func withoutHeavyLoad(_ *rig, l *load) { l.to = l.from }

// report prints figures of a play with the spec, by second if it fails.
func report(r *rig) {
	for i := range r.results {
		GinkgoWriter.Printf("%d: %+v\n", i, r.tally(i, i+1))
	}
	GinkgoWriter.Println(r.log)
}

// expectFair checks the commitments to operators between two seconds, the first of which may be one in which
// hosts do not know of the load yet.
func expectFair(r *rig, from, to int) {
	report(r)
	t := r.tally(from, to)
	AddReportEntry("figures", fmt.Sprintf("%+v", t))
	Expect(float64(t.othersInTime)).To(BeNumerically(">=", 0.9*float64(t.othersOffered)))
	Expect(float64(t.rejections)).To(BeNumerically("<", 0.05*float64(t.arrivals)))
}

var _ = Describe("one workspace that sends 25 times its usual load", func() {
	for _, hosts := range []int{63, 86} {
		for _, estimate := range []float64{1, 0.5, 3} {
			It(fmt.Sprintf("takes nothing from others, with %d hosts and estimates of work of %v of the real one", hosts, estimate), func() {
				usual := playOf(hosts, withoutHeavyLoad).tally(loadBegins, loadEnds)
				r := playOf(hosts, func(_ *rig, l *load) { l.estimate = estimate })
				all, after := r.tally(loadBegins, loadEnds), r.tally(loadEnds+2, playEnds)
				Expect(usual.othersRefused + usual.heavyRefused).To(BeZero())
				Expect(float64(all.othersInTime) / float64(all.othersOffered)).To(BeNumerically(">=", 0.9*float64(usual.othersInTime)/float64(usual.othersOffered)))
				expectFair(r, loadBegins+1, loadEnds)
				Expect(after.othersRefused + after.heavyRefused).To(BeZero())
			})
		}
	}

	// Bounds of the occupancy that are too low would refuse the others' requests here, although no other
	// workspace has more than its share.
	It("takes nothing from others where the usual load is 0.7 of the capacity", func() {
		r := playOf(86, func(_ *rig, l *load) { l.usual = 105 })
		expectFair(r, loadBegins+1, loadEnds)
	})

	// The owner must not take hosts without callers for hosts that report to another owner.
	It("is cut to the whole capacity where only three hosts have callers", func() {
		r := playOf(86, func(r *rig, l *load) {
			l.callers = []int{0, 1, 2}
			Expect(l.callers).NotTo(ContainElement(r.index(r.order()[0])))
		})
		expectFair(r, loadBegins+1, loadEnds)
		Expect(r.tally(loadBegins+1, loadEnds).utilisation).To(BeNumerically(">", 0.8))
	})
})

var _ = Describe("one workspace that sends 25 times its usual load to engines", func() {
	// Endpoints with long requests show the effect of a division seconds later. If the estimate followed
	// them as fast as those of short requests, it would swing between full queues and idle slots.
	for _, hosts := range []int{6, 86} {
		It(fmt.Sprintf("takes nothing from others once the queues of the beginning are served, with %d hosts", hosts), func() {
			const begins, served, ends = 10, 18, 40
			r := playOn(engines, hosts, func(_ *rig, l *load) {
				l.usual = 0.5 * engines.capacity() / float64(l.workspaces)
				l.from, l.to, l.lasts = begins*time.Second, ends*time.Second, ends*time.Second
			})
			expectFair(r, served, ends)
			Expect(r.tally(served, ends).utilisation).To(BeNumerically(">", 0.7))
		})
	}
})

var _ = Describe("usual load", func() {
	// Requests that could begin in time were refused with bounds of the occupancy that are too low.
	It("of 0.8 of the capacity loses at most 1 in 1000 requests to shares", func() {
		r := playOf(63, func(_ *rig, l *load) { l.usual, l.to = 120, l.from })
		report(r)
		t := r.tally(0, playEnds)
		Expect(1000 * (t.othersRefused + t.heavyRefused)).To(BeNumerically("<=", t.othersOffered))
	})

	It("of 0.8 of the capacity of engines loses at most 1 in 100 requests to shares", func() {
		r := playOn(engines, 63, func(_ *rig, l *load) {
			l.usual, l.from, l.to, l.lasts = 0.8*engines.capacity()/float64(l.workspaces), 0, 0, 40*time.Second
		})
		report(r)
		t := r.tally(0, 40)
		AddReportEntry("figures", fmt.Sprintf("%+v", t))
		Expect(100 * (t.othersRefused + t.heavyRefused)).To(BeNumerically("<=", t.othersOffered))
	})

	It("that presses no endpoint sends nothing to other hosts", func() {
		r := playOf(6, func(_ *rig, l *load) { l.usual, l.to = 1, l.from })
		Expect(r.callsMade()).To(BeZero())
	})
})
