package fleet_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/fleet"
	"quaybarrow/internal/standin/suite"
)

// documentPrompt returns a request with a prompt of two shared parts and one of its own.
func documentPrompt(chapter, own uint64) fleet.Request {
	return fleet.Request{
		Service: "s", Key: chapter, Model: "m", Tokens: 10_000, SharedTokens: 9_000, Objective: 4 * time.Second, CacheTokens: 100_000,
		Parts: []fleet.Part{{ID: 1, Tokens: 4_000}, {ID: chapter, Tokens: 5_000}, {ID: own, Tokens: 1_000}},
	}
}

// pickAndPrefill has a prompt prefilled at the endpoint that the fleet chooses, at 10,000 tokens a
// second.
func pickAndPrefill(f *fleet.Fleet, req fleet.Request) *fleet.Hold {
	h, ok := f.Pick(req)
	Expect(ok).To(BeTrue())
	time.Sleep(time.Duration(h.Expected.PrefillTokens) * 100 * time.Microsecond)
	h.Head(fleet.Load{})
	h.Done(fleet.Result{Outcome: fleet.OutcomeGood})
	return h
}

var _ = Describe("the record of engines' prefix caches", func() {
	It("sends a prompt to where it was prefilled, even if that is not its home", func() {
		suite.Paused(func() {
			f := newFleet()
			home := pickAndPrefill(f, documentPrompt(7, 100)).Endpoint.ID
			away := documentPrompt(7, 101)
			away.Avoid = []string{home}
			second := pickAndPrefill(f, away).Endpoint.ID
			f.Remove(home)
			for own := range uint64(5) {
				h := pickAndPrefill(f, documentPrompt(7, 200+own))
				Expect(h.Endpoint.ID).To(Equal(second))
				Expect(h.Expected.PrefillTokens).To(Equal(1_000))
			}
		})
	})

	It("assumes a prompt is cached at its home only if other hosts may have sent it there", func() {
		home := func(advisors int, unadvised bool) int {
			f := fleet.New(fleet.Options{Hall: "ikeja", Choosers: func() fleet.Choosers { return fleet.Choosers{Hosts: 3, Advisers: advisors} }})
			f.Put(fleet.Endpoint{ID: "only", Service: "s", Hall: "ikeja", Slots: 4})
			req := documentPrompt(7, 100)
			req.Unadvised = unadvised
			e, ok := f.Expect(req)
			Expect(ok).To(BeTrue())
			return e.PrefillTokens
		}
		Expect(home(1, false)).To(Equal(10_000), "this host knows all requests")
		Expect(home(1, true)).To(Equal(3_250))
		Expect(home(3, false)).To(Equal(3_250))
	})

	It("matches the beginning that a prompt shares with another one", func() {
		suite.Paused(func() {
			f := fleet.New(fleet.Options{Hall: "ikeja"})
			f.Put(fleet.Endpoint{ID: "home", Service: "s", Hall: "ikeja", Slots: 4})
			pickAndPrefill(f, documentPrompt(7, 100))
			other := documentPrompt(8, 300)
			other.SharedTokens = 0 // no other request has it, so its home has no effect
			h, _ := f.Pick(other)
			Expect(h.Expected.PrefillTokens).To(Equal(6_000))
		})
	})

	It("does not count a part whose beginning is not cached", func() {
		suite.Paused(func() {
			f := fleet.New(fleet.Options{Hall: "ikeja"})
			f.Put(fleet.Endpoint{ID: "only", Service: "s", Hall: "ikeja", Slots: 4})
			pickAndPrefill(f, documentPrompt(7, 100))
			other := documentPrompt(7, 300)
			other.SharedTokens, other.Parts[0].ID = 0, 2 // another beginning before the same chapter
			h, _ := f.Pick(other)
			Expect(h.Expected.PrefillTokens).To(Equal(10_000))
		})
	})

	It("does not count a part after one that only another endpoint has cached", func() {
		suite.Paused(func() {
			f := fleet.New(fleet.Options{Hall: "ikeja"})
			f.Put(fleet.Endpoint{ID: "gap", Service: "s", Hall: "ikeja", Slots: 4})
			f.Put(fleet.Endpoint{ID: "other", Service: "s", Hall: "ikeja", Slots: 4})
			at := func(id string, parts ...fleet.Part) fleet.Request {
				avoid := map[string]string{"gap": "other", "other": "gap"}
				req := documentPrompt(7, 100)
				req.SharedTokens, req.Parts, req.Avoid = 0, parts, []string{avoid[id]}
				return req
			}
			first, second, third := fleet.Part{ID: 1, Tokens: 4_000}, fleet.Part{ID: 2, Tokens: 3_000}, fleet.Part{ID: 3, Tokens: 3_000}
			pickAndPrefill(f, at("gap", first))
			pickAndPrefill(f, at("gap", third))
			pickAndPrefill(f, at("other", first, second))
			h, _ := f.Pick(at("gap", first, second, third))
			Expect(h.Expected.PrefillTokens).To(Equal(6_000))
		})
	})

	It("forgets refused prompts, least recently used parts and removed endpoints", func() {
		suite.Paused(func() {
			f := fleet.New(fleet.Options{Hall: "ikeja"})
			put := func() { f.Put(fleet.Endpoint{ID: "only", Service: "s", Hall: "ikeja", Slots: 4}) }
			put()
			prefillTokens := func(chapter uint64) int {
				req := documentPrompt(chapter, chapter*1000)
				req.SharedTokens = 0
				h, _ := f.Pick(req)
				h.Done(fleet.Result{Outcome: fleet.OutcomeNeutral})
				return h.Expected.PrefillTokens
			}
			h, _ := f.Pick(documentPrompt(7, 100))
			h.Done(fleet.Result{Outcome: fleet.OutcomeRefused})
			Expect(prefillTokens(7)).To(Equal(10_000))
			Expect(prefillTokens(7)).To(BeZero())
			for chapter := range uint64(20) {
				prefillTokens(50 + chapter)
			}
			Expect(prefillTokens(7)).To(Equal(6_000), "the part with which all prompts begin stays")
			f.Remove("only")
			put()
			Expect(prefillTokens(7)).To(Equal(10_000))
		})
	})
})

var _ = Describe("the estimate of prefill times", func() {
	It("is right after some responses, whatever the prior", func() {
		suite.Paused(func() {
			f := newFleet()
			for own := range uint64(12) {
				pickAndPrefill(f, documentPrompt(7+own, 100+own))
			}
			e, _ := f.Expect(documentPrompt(99, 999))
			Expect(e.PrefillTime).To(BeNumerically("~", time.Duration(e.PrefillTokens)*100*time.Microsecond, 100*time.Millisecond))
		})
	})

	It("does not use prompts that may have been cached, as after a restart", func() {
		suite.Paused(func() {
			f := newFleet()
			for own := range uint64(20) {
				h, _ := f.Pick(documentPrompt(7+own, 100+own)) // the engines prefilled the prompt before this host started
				time.Sleep(20 * time.Millisecond)
				h.Head(fleet.Load{})
				h.Done(fleet.Result{Outcome: fleet.OutcomeGood})
			}
			e, _ := f.Expect(documentPrompt(99, 999))
			Expect(e.PrefillTime).To(BeNumerically(">=", time.Duration(e.PrefillTokens)*10*time.Microsecond), "the prior")
		})
	})

	It("does not use responses that waited for others", func() {
		suite.Paused(func() {
			f := fleet.New(fleet.Options{Hall: "ikeja"})
			f.Put(fleet.Endpoint{ID: "only", Service: "s", Hall: "ikeja", Slots: 64})
			for own := range uint64(12) {
				pickAndPrefill(f, documentPrompt(7+own, 100+own))
			}
			var burst []*fleet.Hold
			for own := range uint64(60) {
				h, _ := f.Pick(documentPrompt(100+own, 200+own))
				burst = append(burst, h)
			}
			for _, h := range burst {
				time.Sleep(time.Duration(h.Expected.PrefillTokens) * 100 * time.Microsecond)
				h.Head(fleet.Load{})
				h.Done(fleet.Result{Outcome: fleet.OutcomeGood})
			}
			e, _ := f.Expect(documentPrompt(999, 9999))
			Expect(e.PrefillTime).To(BeNumerically("~", time.Duration(e.PrefillTokens)*100*time.Microsecond, 200*time.Millisecond), "was twelve times that before")
		})
	})

	It("is not distorted by a first response that waited", func() {
		suite.Paused(func() {
			f := newFleet()
			short := fleet.Request{Service: "s", Key: 3, Model: "m", Tokens: 200, Objective: time.Second}
			h, _ := f.Pick(short)
			time.Sleep(3 * time.Second)
			h.Head(fleet.Load{})
			h.Done(fleet.Result{Outcome: fleet.OutcomeGood})
			for own := range uint64(6) {
				pickAndPrefill(f, documentPrompt(7+own, 100+own))
			}
			e, _ := f.Expect(documentPrompt(99, 999))
			Expect(e.PrefillTime).To(BeNumerically(">", time.Duration(e.PrefillTokens)*80*time.Microsecond))
		})
	})
})

var _ = Describe("the price of a second of prefill", func() {
	It("is zero while no request waits, and rises with the waits", func() {
		suite.Paused(func() {
			f := newFleet()
			for own := range uint64(20) {
				pickAndPrefill(f, documentPrompt(7, 100+own))
			}
			before, _ := f.Expect(documentPrompt(7, 99))
			Expect(before.Price).To(BeNumerically("<", 0.1))
			for own := range uint64(60) {
				h, _ := f.Pick(documentPrompt(7, 200+own))
				time.Sleep(100 * time.Millisecond)
				if own%4 != 0 {
					time.Sleep(2 * time.Second)
				}
				h.Head(fleet.Load{})
				h.Done(fleet.Result{Outcome: fleet.OutcomeGood})
			}
			after, _ := f.Expect(documentPrompt(7, 98))
			Expect(after.Price).To(BeNumerically(">", 0.5))
		})
	})
})
