package fleet_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/admission"
	"quaybarrow/internal/fleet"
	"quaybarrow/internal/standin/suite"
)

// shortPrompt returns a request with a short prompt that shares nothing with others.
func shortPrompt(key uint64) fleet.Request {
	return fleet.Request{Service: "s", Key: key, Model: "m", Tokens: 300, Objective: 2 * time.Second}
}

// beginResponse delivers the response head after a delay.
func beginResponse(h *fleet.Hold, after time.Duration) {
	time.Sleep(after)
	h.Head(fleet.Load{})
}

var _ = Describe("endpoints with overdue responses", func() {
	It("get no further requests while none begins, even with few requests there", func() {
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

	It("are passed over for an endpoint of another data hall, which is used for no other reason", func() {
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

	It("are not those that respond to requests sent later", func() {
		suite.Paused(func() {
			f := fleet.New(fleet.Options{Hall: "ikeja"})
			f.Put(fleet.Endpoint{ID: "only", Service: "s", Hall: "ikeja", Slots: 8})
			_, _ = f.Pick(shortPrompt(1)) // its response never begins
			for key := range uint64(5) {
				h, _ := f.Pick(shortPrompt(10 + key))
				beginResponse(h, 50*time.Millisecond)
				h.Done(fleet.Result{Outcome: fleet.OutcomeGood})
			}
			time.Sleep(2500 * time.Millisecond) // the observed wait of the last response has decayed
			e, ok := f.Expect(shortPrompt(99))
			Expect(ok).To(BeTrue())
			Expect(e.Head).To(BeNumerically("<", 200*time.Millisecond))
		})
	})

	// Responses that a stalled link delayed for seconds led to refusals at idle endpoints.
	It("add no wait once the responses have begun and nothing else runs", func() {
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

	// A host ended by itself while it advised another.
	It("are no endpoint for a late request if nothing takes it any more as it goes behind others", func() {
		suite.Paused(func() {
			f := fleet.New(fleet.Options{Hall: "ikeja"})
			f.Put(fleet.Endpoint{ID: "only", Service: "s", Hall: "ikeja", Version: "v2", Slots: 8})
			for looks := range 20 {
				req := shortPrompt(2)
				req.Slack, req.Remaining = time.Nanosecond, 3*time.Second
				seen := 0
				req.Allowed = func(string) bool { seen++; return seen <= looks }
				Expect(func() { f.Advise(req) }).NotTo(Panic(), "allowed at the first %d looks", looks)
			}
		})
	})

	It("are recognized by requests that other hosts were advised to send there", func() {
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
			Expect(again.Endpoint).To(Equal(stuck.Endpoint), "the request has ended otherwise, and the prompt is cached there")
		})
	})

	It("are not those of which other hosts report nothing for longer than reports count", func() {
		suite.Paused(func() {
			f := fleet.New(fleet.Options{Hall: "ikeja"})
			f.Put(fleet.Endpoint{ID: "only", Service: "s", Hall: "ikeja", Slots: 8})
			_, _ = f.Advise(shortPrompt(1)) // the report that its response has begun is lost
			time.Sleep(4 * time.Second)
			req := shortPrompt(2)
			req.Slack, req.Remaining = 2*time.Second, 3*time.Second
			a, ok := f.Advise(req)
			Expect(ok).To(BeTrue())
			Expect(a.Decision).To(Equal(admission.Send{}))
		})
	})
})
