package fleet_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/admission"
	"quaybarrow/internal/clock"
	"quaybarrow/internal/fleet"
	"quaybarrow/internal/standin/suite"
)

// limitedFleet returns a fleet of two endpoints that enforces limits.
func limitedFleet() *fleet.Fleet {
	f := fleet.New(fleet.Options{Hall: "ikeja"})
	f.OnLoanNeeded(func() {})
	for _, id := range []string{"e0", "e1"} {
		f.Put(fleet.Endpoint{ID: id, Service: "s", Hall: "ikeja", Version: "v1", Slots: 8})
	}
	return f
}

// announcedLimit returns the limit in a response that announces one.
func announcedLimit(rate float64) fleet.Limit { return fleet.Limit{Named: true, Rate: rate} }

// tries is enough requests for each of two endpoints to get some.
const tries = 50

// countPicks counts how many of some plain requests go to an endpoint.
func countPicks(f *fleet.Fleet, id string) int {
	n := 0
	for range tries {
		h, ok := f.Pick(fleet.Request{Service: "s"})
		if !ok {
			continue
		}
		if h.Endpoint.ID == id {
			n++
		}
		h.Done(fleet.Result{Outcome: fleet.OutcomeGood})
	}
	return n
}

var _ = Describe("an endpoint that announces a limit", func() {
	It("gets only as many requests as loans allow, and only until they expire", func() {
		suite.Paused(func() {
			f := limitedFleet()
			f.ObserveLimit("e0", announcedLimit(2), clock.Now())
			Expect(countPicks(f, "e0")).To(BeZero())
			f.FinishLoan("e0", fleet.Loan{Requests: 3, Until: clock.Now().Add(time.Second)})
			Expect(countPicks(f, "e0")).To(Equal(3))
			f.FinishLoan("e0", fleet.Loan{Requests: 3, Until: clock.Now().Add(time.Second)})
			time.Sleep(time.Second)
			Expect(countPicks(f, "e0")).To(BeZero())
		})
	})

	It("needs loans as requests would go there", func() {
		suite.Paused(func() {
			f := limitedFleet()
			f.ObserveLimit("e0", announcedLimit(2), clock.Now())
			list, _ := f.LoanRequests()
			Expect(list).To(BeEmpty())
			countPicks(f, "e0")
			list, _ = f.LoanRequests()
			Expect(list).To(HaveLen(1))
			Expect(list[0].Update.Rate).To(BeEquivalentTo(2))
			Expect(list[0].Requests).To(BeNumerically(">", 1))
			f.Remove("e1") // while other endpoints take requests, no request waits for this one
			again := clock.Now().Add(100 * time.Millisecond)
			f.FinishLoan("e0", fleet.Loan{RetryAt: again})
			countPicks(f, "e0")
			list, next := f.LoanRequests()
			Expect(list).To(BeEmpty(), "before the lender's retry time")
			Expect(next).To(Equal(again))
			time.Sleep(time.Second)
			list, _ = f.LoanRequests()
			Expect(list).To(BeEmpty(), "the requests are too old")
		})
	})

	It("has no limit once the response to a later request announces none", func() {
		suite.Paused(func() {
			f := limitedFleet()
			early := clock.Now()
			time.Sleep(time.Second)
			f.ObserveLimit("e0", announcedLimit(2), clock.Now())
			time.Sleep(time.Second)
			_, after := f.ObserveLimit("e0", fleet.Limit{}, early)
			Expect(after).To(BeEquivalentTo(2), "the response may be older than the limit")
			_, after = f.ObserveLimit("e0", fleet.Limit{Unread: "abc"}, clock.Now())
			Expect(after).To(BeEquivalentTo(2), "a malformed limit changes nothing")
			_, after = f.ObserveLimit("e0", fleet.Limit{}, clock.Now())
			Expect(after).To(BeZero())
			Expect(countPicks(f, "e0")).To(BeNumerically(">", 10))
			list, _ := f.LoanRequests()
			Expect(list).To(HaveLen(1), "the lender is informed")
			Expect(list[0].Update.Rate).To(BeZero())
		})
	})

	It("still gets occasional requests with a limit of zero", func() {
		suite.Paused(func() {
			f := limitedFleet()
			_, after := f.ObserveLimit("e0", announcedLimit(0), clock.Now())
			Expect(after).To(BeNumerically(">", 0))
		})
	})

	It("has no limit after its next start", func() {
		suite.Paused(func() {
			f := limitedFleet()
			e := fleet.Endpoint{ID: "e0", Service: "s", Hall: "ikeja", Version: "v1", Slots: 8}
			f.ObserveLimit("e0", announcedLimit(0), clock.Now())
			f.Put(e.WithStart(7))
			Expect(countPicks(f, "e0@7")).To(BeNumerically(">", 10))
		})
	})

	It("is known from other hosts' updates, of which the latest response counts", func() {
		suite.Paused(func() {
			f := limitedFleet()
			now := clock.Now()
			f.MergeLimit(fleet.LimitUpdate{Endpoint: "e0", Rate: 2, Since: now, ConfirmedAt: now})
			f.MergeLimit(fleet.LimitUpdate{Endpoint: "e0", Rate: 0, ConfirmedAt: now.Add(-time.Second)})
			f.MergeLimit(fleet.LimitUpdate{Endpoint: "gone", Rate: 2, ConfirmedAt: now})
			Expect(countPicks(f, "e0")).To(BeZero())
			Expect(f.TakeLimitUpdates(8)).To(HaveLen(1), "it is published")
			Expect(f.TakeLimitUpdates(8)).To(BeEmpty(), "once")
			f.MergeLimit(fleet.LimitUpdate{Endpoint: "e0", Rate: 0, ConfirmedAt: now.Add(time.Millisecond)})
			Expect(countPicks(f, "e0")).To(BeNumerically(">", 10))
			time.Sleep(time.Minute)
			f.MergeLimit(fleet.LimitUpdate{Endpoint: "e1", Rate: 2, Since: now, ConfirmedAt: now})
			Expect(countPicks(f, "e1")).To(BeNumerically(">", 10), "an old update changes nothing")
		})
	})

	It("is not used on the advice of an advisor that does not know the limit", func() {
		suite.Paused(func() {
			f := limitedFleet()
			f.ObserveLimit("e0", announcedLimit(2), clock.Now())
			_, ok := f.PickAt(fleet.Advice{Endpoint: "e0"}, fleet.Request{Service: "s"})
			Expect(ok).To(BeFalse())
			_, ok = f.PickAt(fleet.Advice{Endpoint: "e0", LimitCounted: true}, fleet.Request{Service: "s"})
			Expect(ok).To(BeTrue())
		})
	})
})

var _ = Describe("requests to endpoints that all announce limits", func() {
	newRequest := func(urgency int) fleet.Request {
		return fleet.Request{Service: "s", Urgency: urgency, MaxLimitWait: 2 * time.Second}
	}
	lend := func(f *fleet.Fleet, n int) {
		f.FinishLoan("e0", fleet.Loan{Requests: n, Until: clock.Now().Add(time.Second)})
	}

	It("wait, and are sent in the order of their urgency", func() {
		suite.Paused(func() {
			f := limitedFleet()
			f.ObserveLimit("e0", announcedLimit(2), clock.Now())
			f.ObserveLimit("e1", announcedLimit(2), clock.Now())
			_, d := f.Place(newRequest(5))
			later, ok := d.(admission.Wait)
			Expect(ok).To(BeTrue())
			_, d = f.Place(newRequest(1))
			first, ok := d.(admission.Wait)
			Expect(ok).To(BeTrue())
			lend(f, 1)
			patient := newRequest(5)
			patient.Turn = later.Turn
			h, _ := f.Place(patient)
			Expect(h).To(BeNil(), "a more urgent request waits")
			urgent := newRequest(1)
			urgent.Turn = first.Turn
			h, _ = f.Place(urgent)
			Expect(h).NotTo(BeNil())
			lend(f, 1)
			h, _ = f.Place(patient)
			Expect(h).NotTo(BeNil())
		})
	})

	It("do not go to a failing endpoint instead", func() {
		suite.Paused(func() {
			f := limitedFleet()
			f.ObserveLimit("e0", announcedLimit(2), clock.Now())
			f.AddTally("e1", fleet.Tally{Lost: 1})
			_, d := f.Place(newRequest(5))
			wait, ok := d.(admission.Wait)
			Expect(ok).To(BeTrue())
			lend(f, 1)
			again := newRequest(5)
			again.Turn = wait.Turn
			h, _ := f.Place(again)
			Expect(h.Endpoint.ID).To(Equal("e0"))
		})
	})

	It("are refused at once with the time of the next loan if that is too late for them", func() {
		suite.Paused(func() {
			f := limitedFleet()
			for _, id := range []string{"e0", "e1"} {
				f.ObserveLimit(id, announcedLimit(0.2), clock.Now())
				f.FinishLoan(id, fleet.Loan{RetryAt: clock.Now().Add(5 * time.Second)})
			}
			_, d := f.Place(newRequest(5))
			Expect(d).To(Equal(admission.Refuse{After: 5 * time.Second}))
		})
	})
})
