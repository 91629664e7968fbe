package retry_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"quaybarrow/internal/retry"
	"quaybarrow/internal/standin/suite"
)

// window is the time for which attempts count; they are counted in whole seconds.
const window = 10 * time.Second

var _ = Describe("a window of attempts", func() {
	It("never lets through more than the ratio and the reserve in any ten seconds", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			limits := retry.Limits{
				Ratio: rapid.Float64Range(0, 2).Draw(t, "ratio"), Reserve: float64(rapid.IntRange(0, 10).Draw(t, "reserve")),
			}
			now, w := 1_000_000*time.Second, retry.Window{}
			var firsts, repeats []time.Duration
			for range rapid.IntRange(1, 200).Draw(t, "steps") {
				now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond
				if rapid.Bool().Draw(t, "first") {
					w = w.WithFirst(now)
					firsts = append(firsts, now)
					continue
				}
				next, ok := w.WithRetry(now, limits, 1)
				w = next
				if !ok {
					continue
				}
				repeats = append(repeats, now)
				if float64(within(repeats, now)) > limits.Ratio*float64(within(firsts, now))+limits.Reserve {
					t.Fatalf("%d repeats for %d first sends", within(repeats, now), within(firsts, now))
				}
			}
		})
	})

	It("leaves the rest to other uses where only a fraction may be taken", func() {
		limits, now, w := retry.Limits{Ratio: 1}, 1_000_000*time.Second, retry.Window{}
		for range 10 {
			w = w.WithFirst(now)
		}
		taken := 0
		for ok := true; ok; taken++ {
			w, ok = w.WithRetry(now, limits, 0.5)
		}
		Expect(taken - 1).To(Equal(5))
		_, ok := w.WithRetry(now, limits, 1)
		Expect(ok).To(BeTrue())
	})
})

// within counts the times that lie in the window that ends now.
func within(moments []time.Duration, now time.Duration) int {
	n := 0
	for _, m := range moments {
		if m/time.Second > (now-window)/time.Second {
			n++
		}
	}
	return n
}

var _ = Describe("budgets", func() {
	It("allow the ratio of the first attempts plus the reserve, and nothing where the fraction of the reserve is below one", func() {
		suite.Paused(func() {
			b := retry.NewBudgets(retry.Limits{Ratio: 0.5, Reserve: 2})
			for range 10 {
				b.RecordFirst("s")
			}
			granted := 0
			for range 20 {
				if b.TakeRetry("s", 1) {
					granted++
				}
			}
			Expect(granted).To(Equal(7))
			Expect(b.TakeRetry("other", 0.4)).To(BeFalse())
		})
	})

	It("are separate for each service, and refill with time", func() {
		suite.Paused(func() {
			b := retry.NewBudgets(retry.Limits{Ratio: 0.5, Reserve: 1})
			Expect(b.TakeRetry("a", 1)).To(BeTrue())
			Expect(b.TakeRetry("a", 1)).To(BeFalse())
			Expect(b.TakeRetry("b", 1)).To(BeTrue())
			b.RecordFirst("a")
			b.RecordFirst("a")
			Expect(b.TakeRetry("a", 1)).To(BeTrue())
			Expect(b.TakeRetry("a", 1)).To(BeFalse())
			b.SetRatio(1)
			Expect(b.TakeRetry("a", 1)).To(BeTrue())
			time.Sleep(11 * time.Second)
			Expect(b.TakeRetry("a", 1)).To(BeTrue())
			Expect(b.TakeRetry("a", 1)).To(BeFalse())
		})
	})
})
