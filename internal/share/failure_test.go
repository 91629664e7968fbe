package share_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// failsAt is when the failures begin, with the load in full course.
const failsAt = 7

// A failure must neither open the endpoints to the heavy workspace nor cut the others.
var _ = Describe("while one workspace sends 25 times its usual load", func() {
	failures := map[string]struct {
		at    int // second
		apply func(*rig)
	}{
		"the owner dies":                             {failsAt, func(r *rig) { r.kill(r.order()[0]) }},
		"the two first owners die":                   {failsAt, func(r *rig) { r.kill(r.order()[0]); r.kill(r.order()[1]) }},
		"the links to the owner are silent":          {failsAt, func(r *rig) { r.sever(func(_, to string) bool { return to == r.order()[0] }) }},
		"the owner does not know the call":           {0, func(r *rig) { r.set(r.order()[0], older) }},
		"the owner's replies can't be right":         {failsAt, func(r *rig) { r.set(r.order()[0], garbles) }},
		"half of the hosts lose the owner":           {failsAt, loseOwner},
		"half of the hosts never reach the owner":    {0, loseOwner},
		"the hosts are cut into two halves":          {failsAt, func(r *rig) { r.sever(func(from, to string) bool { return r.index(from)%2 != r.index(to)%2 }) }},
		"a tenth of the hosts die":                   {failsAt, func(r *rig) { killTenth(r) }},
		"the owner dies and its successor is silent": {failsAt, func(r *rig) { r.kill(r.order()[0]); r.set(r.order()[1], silent) }},
	}
	for name, f := range failures {
		It("and "+name+", the others' requests are served", func() {
			r := playOf(63, func(r *rig, l *load) {
				l.at = map[time.Duration]func(){time.Duration(f.at) * time.Second: func() { f.apply(r) }}
			})
			expectFair(r, loadBegins+1, loadEnds)
			// A new owner must not let everything in until it has seen enough.
			const begins = failsAt
			soon := r.tally(begins, begins+2)
			AddReportEntry("soon", fmt.Sprintf("%+v", soon))
			Expect(float64(soon.rejections)).To(BeNumerically("<", 0.05*float64(soon.arrivals)))
			after := r.tally(loadEnds+2, playEnds)
			Expect(after.othersRefused + after.heavyRefused).To(BeZero())
		})
	}

	// Without a division of its own, a host that no owner answers would admit everything again after 1 s.
	It("and no host reaches another one, endpoints are not overrun", func() {
		r := playOf(6, func(r *rig, l *load) {
			l.at = map[time.Duration]func(){failsAt * time.Second: func() { r.sever(func(_, _ string) bool { return true }) }}
		})
		expectFair(r, loadBegins+1, loadEnds)
	})
})

// loseOwner silences the links of half of the hosts to the owner.
func loseOwner(r *rig) {
	r.sever(func(from, to string) bool { return to == r.order()[0] && r.index(from)%2 == 0 })
}

func killTenth(r *rig) {
	order := r.order()
	for _, h := range order[len(order)-len(order)/10:] {
		r.kill(h)
	}
}
