package fleet_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/admission"
	"quaybarrow/internal/fleet"
	"quaybarrow/internal/standin/suite"
)

// shortPrompt is a short prompt that has nothing in common with others.
func shortPrompt(key uint64) fleet.Request {
	return fleet.Request{Service: "s", Key: key, Model: "m", Tokens: 300, Objective: 2 * time.Second}
}

// beginResponse has the answer beginResponse after a time.
func beginResponse(h *fleet.Hold, after time.Duration) {
	time.Sleep(after)
	h.Head(fleet.Load{})
}

var _ = Describe("endpoints whose answers are overdue", func() {
	It("get nothing more while none begins, though few requests are there", func() {
		suite.Paused(func() {
			f := newFleet()
			stuck, _ := f.Pick(shortPrompt(1))
			time.Sleep(time.Second)
			for key := range uint64(40) {
				h, _ := f.Pick(shortPrompt(10 + key))
				Expect(h.Endpoint.ID).NotTo(Equal(stuck.Endpoint.ID))
				beginResponse(h, 10*time.Millisecond)
				h.Done(fleet.Result{Outcome: fleet.OutcomeGood})
			}
			stuck.Head(fleet.Load{})
			stuck.Done(fleet.Result{Outcome: fleet.OutcomeGood})
			time.Sleep(3 * time.Second)
			seen := map[string]bool{}
			for key := range uint64(60) {
				h, _ := f.Pick(shortPrompt(100 + key))
				seen[h.Endpoint.ID] = true
				beginResponse(h, 10*time.Millisecond)
				h.Done(fleet.Result{Outcome: fleet.OutcomeGood})
			}
			Expect(seen).To(HaveKey(stuck.Endpoint.ID))
		})
	})

	It("lose to an endpoint of another data hall, which is taken for nothing else", func() {
		suite.Paused(func() {
			f := fleet.New(fleet.Options{Hall: "ikeja"})
			f.Put(fleet.Endpoint{ID: "near", Service: "s", Hall: "ikeja", Slots: 64})
			f.Put(fleet.Endpoint{ID: "far", Service: "s", Hall: "lekki", Slots: 64})
			stuck, _ := f.Pick(shortPrompt(1))
			Expect(stuck.Endpoint.ID).To(Equal("near"))
			second, _ := f.Pick(shortPrompt(2))
			Expect(second.Endpoint.ID).To(Equal("near"))
			time.Sleep(time.Second)
			third, _ := f.Pick(shortPrompt(3))
			Expect(third.Endpoint.ID).To(Equal("far"))
		})
	})

	It("are not those that answer what was sent later", func() {
		suite.Paused(func() {
			f := fleet.New(fleet.Options{Hall: "ikeja"})
			f.Put(fleet.Endpoint{ID: "only", Service: "s", Hall: "ikeja", Slots: 8})
			_, _ = f.Pick(shortPrompt(1)) // never begins
			for key := range uint64(5) {
				h, _ := f.Pick(shortPrompt(10 + key))
				beginResponse(h, 50*time.Millisecond)
				h.Done(fleet.Result{Outcome: fleet.OutcomeGood})
			}
			time.Sleep(2500 * time.Millisecond) // the wait of the last answer has faded
			e, ok := f.Expect(shortPrompt(99))
			Expect(ok).To(BeTrue())
			Expect(e.Head).To(BeNumerically("<", 200*time.Millisecond))
		})
	})

	// Answers that a silent link held up for seconds had requests refused at endpoints with nothing to do.
	It("are no wait of what comes once they are there and nothing else is", func() {
		suite.Paused(func() {
			f := fleet.New(fleet.Options{Hall: "ikeja"})
			f.Put(fleet.Endpoint{ID: "only", Service: "s", Hall: "ikeja", Slots: 8})
			held, _ := f.Pick(shortPrompt(1))
			time.Sleep(6 * time.Second)
			held.Head(fleet.Load{Running: 1, Slots: 8})
			held.Done(fleet.Result{Outcome: fleet.OutcomeGood})
			req := shortPrompt(2)
			req.Slack, req.Remaining = 2*time.Second, 3*time.Second
			h, d := f.Place(req)
			Expect(d).To(Equal(admission.Send{}))
			Expect(h).NotTo(BeNil())
		})
	})

	It("are known by what other hosts were advised to send there", func() {
		suite.Paused(func() {
			f := newFleet()
			stuck, _ := f.Advise(documentPrompt(1, 1))
			time.Sleep(time.Second)
			for key := range uint64(20) {
				a, _ := f.Advise(shortPrompt(10 + key))
				Expect(a.Endpoint).NotTo(Equal(stuck.Endpoint))
				f.ObserveHead(fleet.HeadReport{Endpoint: a.Endpoint, Ticket: a.Ticket, Service: "s", Model: "m", Took: 50 * time.Millisecond, PrefillTokens: 300})
				f.EndAdvised(a)
			}
			f.EndAdvised(stuck)
			again, _ := f.Advise(documentPrompt(1, 2))
			Expect(again.Endpoint).To(Equal(stuck.Endpoint), "the request has ended otherwise, and it is kept there")
		})
	})
})
