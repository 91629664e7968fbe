package ratelimit_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/fleet"
	"quaybarrow/internal/ratelimit"
	"quaybarrow/internal/standin/suite"
)

// borrow requests a loan of some requests from a lender.
func borrow(l *ratelimit.Lender, first bool, since clock.Instant, rate float64, requests int) ratelimit.Reply {
	return lendRequest(l, first, since, rate, ratelimit.Request{Requests: requests})
}

// lendRequest sends a request to a lender, with a limit heard of just now.
func lendRequest(l *ratelimit.Lender, first bool, since clock.Instant, rate float64, r ratelimit.Request) ratelimit.Reply {
	now := clock.Now()
	r.Limit = fleet.LimitUpdate{Endpoint: "e", Rate: rate, Since: since, ConfirmedAt: now}
	return l.Lend(r, first, now)
}

// totalLent returns how much a lender lends in a time to a borrower that takes all it can get.
func totalLent(l *ratelimit.Lender, first bool, since clock.Instant, rate float64, d time.Duration) int {
	n, end := 0, clock.Now().Add(d)
	for clock.Now().Before(end) {
		r := borrow(l, first, since, rate, 100)
		n += r.Requests
		time.Sleep(max(r.RetryAfter, 10*time.Millisecond))
	}
	return n
}

var _ = Describe("a lender", func() {
	It("lends what the endpoint announces", func() {
		suite.Paused(func() {
			l := ratelimit.NewLender()
			time.Sleep(time.Second)
			Expect(totalLent(l, true, clock.Now(), 2.5, 20*time.Second)).To(BeNumerically("~", 50, 2))
		})
	})

	It("lends only a part at first if another host may have lent", func() {
		suite.Paused(func() {
			old := clock.Now().Add(-time.Minute)
			for _, first := range []bool{true, false} {
				l := ratelimit.NewLender()
				Expect(totalLent(l, first, old, 8, 3*time.Second)).To(BeNumerically("~", 12, 2))
				Expect(totalLent(l, first, old, 8, 3*time.Second)).To(BeNumerically("~", 24, 2))
			}
		})
	})

	It("starts over after other hosts may have been asked", func() {
		suite.Paused(func() {
			l := ratelimit.NewLender()
			time.Sleep(time.Second)
			since := clock.Now()
			totalLent(l, true, since, 8, 3*time.Second)
			time.Sleep(5 * time.Second)
			Expect(borrow(l, true, since, 8, 100).Requests).To(BeZero(), "an unused limit does not accumulate meanwhile")
			Expect(totalLent(l, true, since, 8, 3*time.Second)).To(BeNumerically("~", 12, 2))
		})
	})

	It("never lends two requests at once from a limit that does not accumulate", func() {
		suite.Paused(func() {
			l := ratelimit.NewLender()
			time.Sleep(time.Second)
			since := clock.Now()
			lent := 0
			for i := range 20 {
				time.Sleep(time.Duration(500+400*(i%3)) * time.Millisecond)
				n := lendRequest(l, true, since, 4, ratelimit.Request{Requests: 5, Unsaved: true}).Requests
				Expect(n).To(BeNumerically("<=", 1))
				lent += n
			}
			Expect(lent).To(BeNumerically(">=", 15))
		})
	})

	It("lends two requests at once from a small limit that has been unused for a while", func() {
		suite.Paused(func() {
			l := ratelimit.NewLender()
			time.Sleep(time.Second)
			since, most := clock.Now(), 0
			for range 10 {
				time.Sleep(1900 * time.Millisecond)
				most = max(most, borrow(l, true, since, 1, 5).Requests)
			}
			Expect(most).To(Equal(2))
		})
	})

	It("tells hosts that get no loan different times to ask again", func() {
		suite.Paused(func() {
			l := ratelimit.NewLender()
			time.Sleep(time.Second)
			since := clock.Now()
			Expect(borrow(l, true, since, 2, 1).Requests).To(Equal(1))
			for i := range 5 {
				r := borrow(l, true, since, 2, 1)
				Expect(r.Requests).To(BeZero())
				Expect(r.RetryAfter).To(BeNumerically("~", time.Duration(i+1)*500*time.Millisecond, 10*time.Millisecond))
			}
		})
	})

	It("lends nothing from a limit that has ended, and reports its end", func() {
		suite.Paused(func() {
			l := ratelimit.NewLender()
			since := clock.Now()
			borrow(l, true, since, 2, 1)
			time.Sleep(time.Second)
			borrow(l, true, clock.Instant{}, 0, 0)
			old := ratelimit.Request{Requests: 1, Limit: fleet.LimitUpdate{Endpoint: "e", Rate: 2, Since: since, ConfirmedAt: since}}
			r := l.Lend(old, true, clock.Now())
			Expect(r.Requests).To(BeZero())
			Expect(r.Limit.Rate).To(BeZero())
		})
	})
})
