package rollout_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"quaybarrow/internal/declare"
	"quaybarrow/internal/rollout"
)

var plan = declare.Plan{Name: "p", Version: "m@2", Window: 10, Floor: 0.7, Ratings: 20}

// applyRatings feeds random ratings with the given mean to a plan until a verdict or maxRatings.
// It returns the number of ratings used.
func applyRatings(s rollout.State, mean float64, random *rand.Rand, maxRatings int) (rollout.State, rollout.Action, int) {
	now := time.Unix(0, 0)
	for i := range maxRatings {
		score := 0.0
		if random.Float64() < mean {
			score = 1
		}
		var action rollout.Action
		if s, action = rollout.Step(s, plan, []float64{score}, now); action != rollout.ActionNone {
			return s, action, i + 1
		}
	}
	return s, rollout.ActionNone, maxRatings
}

var _ = Describe("a plan", func() {
	seeds := 2000

	// The sequential test itself guarantees one in ten at the floor. How much rarer false
	// withdrawals are above the floor decides whether good versions are safe.
	falseWithdrawals := map[string]struct{ mean, maxShare float64 }{
		"at the floor, 0.1":  {plan.Floor, 0.1},
		"0.1 above it, 0.03": {plan.Floor + 0.1, 0.03},
		"0.2 above it, 0.01": {plan.Floor + 0.2, 0.01},
	}
	for name, c := range falseWithdrawals {
		It("withdraws a version by mistake, however often it is evaluated, in less than this share of runs: "+name, func() {
			withdrawn := 0
			for seed := range seeds {
				_, action, _ := applyRatings(rollout.NewState(plan, time.Unix(0, 0)), c.mean, rand.New(rand.NewPCG(uint64(seed), 1)), 2000)
				if action == rollout.ActionWithdraw {
					withdrawn++
				}
			}
			Expect(float64(withdrawn) / float64(seeds)).To(BeNumerically("<", c.maxShare))
		})
	}

	verdicts := map[string]struct {
		mean   float64
		action rollout.Action
		within int // ratings, for 95% of the seeds
	}{
		"a good version is accepted":                       {0.95, rollout.ActionAccept, 60},
		"a bad version is withdrawn":                       {0.3, rollout.ActionWithdraw, 40},
		"a version with mean 0 is withdrawn at once":       {0.0, rollout.ActionWithdraw, 15},
		"a version with mean 0.5 is withdrawn more slowly": {0.5, rollout.ActionWithdraw, 150},
	}
	for name, v := range verdicts {
		It(name, func() {
			inTime := 0
			for seed := range 200 {
				_, action, count := applyRatings(rollout.NewState(plan, time.Unix(0, 0)), v.mean, rand.New(rand.NewPCG(uint64(seed), 2)), 4000)
				if action == v.action && count <= v.within {
					inTime++
				}
			}
			Expect(inTime).To(BeNumerically(">=", 190))
		})
	}

	It("withdraws a version whose quality drops in service, and keeps a good one", func() {
		for seed := range 100 {
			random := rand.New(rand.NewPCG(uint64(seed), 3))
			s := rollout.NewState(plan, time.Unix(0, 0)).WithPhase(rollout.PhaseAccepted, "")
			s, action, _ := applyRatings(s, 0.95, random, 2000)
			Expect(action).To(Equal(rollout.ActionNone))
			_, action, _ = applyRatings(s, 0.2, random, 60)
			Expect(action).To(Equal(rollout.ActionWithdraw))
		}
	})

	It("withdraws a version that fails on two hosts, or on the only live host", func() {
		s := rollout.NewState(plan, time.Unix(0, 0))
		_, action := s.WithFailingHosts(1, 3)
		Expect(action).To(Equal(rollout.ActionNone))
		_, action = s.WithFailingHosts(2, 3)
		Expect(action).To(Equal(rollout.ActionWithdraw))
		_, action = s.WithFailingHosts(1, 1)
		Expect(action).To(Equal(rollout.ActionWithdraw))
	})

	It("never has more outstanding answers than its window, and never a negative number", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			now := time.Unix(0, 0)
			s := rollout.NewState(plan, now)
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "seconds")) * time.Second)
				outstanding := int(s.Outstanding())
				ratings := rapid.SliceOfN(rapid.Float64Range(0, 1), 0, min(outstanding, 5)).Draw(t, "ratings")
				var action rollout.Action
				s, action = rollout.Step(s, plan, ratings, now)
				if action != rollout.ActionNone {
					return
				}
				if room := s.GrantableCredits(); room > 0 {
					s = s.WithGrant(room, now)
				}
				if s.Outstanding() < 0 || float64(s.Outstanding()) > s.Window+1 && len(ratings) == 0 && s.GrantableCredits() > 0 {
					t.Fatalf("%d answers outstanding in a window of %v", s.Outstanding(), s.Window)
				}
				inBatches := int64(0)
				for _, b := range s.Batches {
					inBatches += b.Count
				}
				if inBatches+s.Settled != s.Granted {
					t.Fatalf("batches contain %d credits, settled %d, granted %d", inBatches, s.Settled, s.Granted)
				}
			}
		})
	})

	It("divides its credits among hosts as evenly as possible", func() {
		Expect(rollout.SplitCredits(7, 3, 0)).To(Equal([]int{3, 2, 2}))
		Expect(rollout.SplitCredits(7, 3, 1)).To(Equal([]int{2, 3, 2}))
		Expect(rollout.SplitCredits(1, 3, 2)).To(Equal([]int{0, 0, 1}))
	})
})
