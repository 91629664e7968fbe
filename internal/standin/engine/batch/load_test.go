package batch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/standin/engine/batch"
)

// play runs callers of two kinds with a multiple of the usual rate, while an engine is lost.
func play(factor float64) batch.Results {
	l := batch.NewLoad(batch.LoadOptions{Engines: 4, Engine: options, Seed: 7, Kinds: []batch.Kind{
		{Name: "short", Workspaces: 2, Rate: 8, Shared: 100, Own: 50, Out: 20, EventTokens: 5, Objective: time.Second, Deadline: 4 * time.Second, Worth: 1, Models: map[string]float64{"m": 0.5, "slow": 0.5}},
		{Name: "long", Workspaces: 1, Rate: 1, Shared: 500, Own: 1000, Out: 50, EventTokens: 5, Objective: 2 * time.Second, Deadline: 8 * time.Second, Urgency: 1, Worth: 2, Models: map[string]float64{"m": 1}},
	}})
	l.Run(5 * time.Second)
	l.Count()
	l.SetRate("short", factor)
	l.Clock.After(2*time.Second, func() { l.Lose(0, 3*time.Second) })
	l.Run(10 * time.Second)
	return l.Finish()
}

var _ = Describe("a load", func() {
	loads := map[string]struct{ factor, inTime, most float64 }{
		"little":                      {1, 0.95, 1},
		"far more than engines serve": {40, 0, 0.9},
	}
	for name, load := range loads {
		It("counts each request once, and the same in each run: "+name, func() {
			got := play(load.factor)
			Expect(play(load.factor)).To(Equal(got))
			Expect(got.Counts).To(HaveLen(3), "two workspaces and one")
			for _, kind := range []string{"short", "long"} {
				n := got.Of(kind)
				Expect(n.InTime+n.Late+n.Refused+n.Unanswered).To(Equal(n.Sent), "%s: %v", kind, n)
				Expect(n.Attempts).To(BeNumerically(">=", n.InTime+n.Late))
			}
			short := got.Of("short")
			Expect(float64(short.Sent)).To(BeNumerically("~", load.factor*80, load.factor*30))
			Expect(short.InTimeShare()).To(And(BeNumerically(">=", load.inTime), BeNumerically("<=", load.most)), "%v", short)
			Expect(got.EngineTime).To(Equal(40 * time.Second))
		})
	}
})
