package fleet_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/fleet"
	"quaybarrow/internal/standin/suite"
)

var _ = Describe("an evacuated data hall", func() {
	// hallsUsed counts the data halls that requests go to.
	hallsUsed := func(f *fleet.Fleet, req fleet.Request) map[string]int {
		halls := map[string]int{}
		for range 12 {
			if h, ok := f.Pick(req); ok {
				halls[h.Endpoint.Hall]++
				defer h.Done(fleet.Result{})
			}
		}
		return halls
	}

	It("gets no requests until it returns to use", func() {
		for name, req := range map[string]fleet.Request{"plain": plainRequest, "prompt": promptRequest(7)} {
			f := newFleet()
			f.Evacuate([]string{"ikeja"})
			Expect(hallsUsed(f, req)).To(Equal(map[string]int{"lekki": 12}), name)
			Expect(f.Evacuations()).To(HaveLen(1))
			Expect(f.Evacuations()[0].Hall).To(Equal("ikeja"))
			f.Evacuate(nil)
			Expect(hallsUsed(f, req)).To(HaveKey("ikeja"), name)
		}
	})

	It("gets no requests by advice from before or after the evacuation", func() {
		f := newFleet()
		before, ok := f.Advise(promptRequest(7))
		Expect(ok).To(BeTrue())
		at, _ := f.Listed(before.Endpoint)
		f.Evacuate([]string{at.Hall})
		_, ok = f.PickAt(before, promptRequest(7))
		Expect(ok).To(BeFalse())
		for range 20 {
			after, ok := f.Advise(promptRequest(7))
			Expect(ok).To(BeTrue())
			e, _ := f.Listed(after.Endpoint)
			Expect(e.Hall).NotTo(Equal(at.Hall))
		}
	})

	It("covers endpoints that are listed later", func() {
		f := newFleet()
		f.Evacuate([]string{"ikeja", "lekki", "nowhere"})
		f.Put(fleet.Endpoint{ID: "late", Service: "s", Hall: "ikeja", Slots: 4})
		Expect(hallsUsed(f, plainRequest)).To(BeEmpty())
		f.Put(fleet.Endpoint{ID: "else", Service: "s", Hall: "yaba", Slots: 4})
		Expect(hallsUsed(f, plainRequest)).To(Equal(map[string]int{"yaba": 12}))
	})

	It("keeps its running requests, and its versions stay listed", func() {
		f := newFleet()
		h, _ := f.Pick(plainRequest)
		f.Evacuate([]string{"ikeja"})
		Expect(f.InFlight(h.Endpoint.ID)).To(Equal(1))
		Expect(f.Versions("s")).To(Equal(map[string]int{"v1": 6}))
		h.Head(fleet.Load{})
		h.Done(fleet.Result{Outcome: fleet.OutcomeGood})
		Expect(f.InFlight(h.Endpoint.ID)).To(BeZero())
	})

	It("leaves no endpoint to a service once all its halls are evacuated", func() {
		f := newFleet()
		f.Evacuate([]string{"ikeja"})
		Expect(f.AllEvacuated("s")).To(BeFalse())
		f.Evacuate([]string{"ikeja", "lekki"})
		Expect(f.AllEvacuated("s")).To(BeTrue())
		Expect(f.AllEvacuated("unknown")).To(BeFalse())
	})
})

var _ = Describe("regions", func() {
	It("restrict every choice", func() {
		f := fleet.New(fleet.Options{Hall: "ikeja", Regions: map[string]string{"ikeja": "lagos", "lekki": "abuja"}})
		addEndpoints(f)
		for range 24 {
			req := promptRequest(7)
			req.Regions = []string{"abuja"}
			h, ok := f.Pick(req)
			Expect(ok).To(BeTrue())
			Expect(h.Endpoint.Hall).To(Equal("lekki"))
			a, ok := f.Advise(req)
			Expect(ok).To(BeTrue())
			_, ok = f.PickAt(fleet.Advice{Endpoint: "e0"}, req)
			Expect(ok).To(BeFalse())
			_, ok = f.PickAt(a, req)
			Expect(ok).To(BeTrue())
		}
		req := promptRequest(7)
		req.Regions = []string{"accra"}
		_, ok := f.Pick(req)
		Expect(ok).To(BeFalse())
	})
})

var _ = Describe("a restarted endpoint with the same instance name", func() {
	start := func(born int64) fleet.Endpoint {
		return fleet.Endpoint{ID: "e", Service: "s", Hall: "ikeja", Version: "v1", Slots: 4}.WithStart(born)
	}

	It("inherits nothing", func() {
		suite.Paused(func() {
			f := fleet.New(fleet.Options{Hall: "ikeja", WarmUp: func(string) fleet.WarmUp { return fleet.WarmUp{Duration: time.Second, MaxRate: 100} }})
			f.Reset([]fleet.Endpoint{start(1)}, false)
			sent, ok := f.Pick(promptRequest(7))
			Expect(ok).To(BeTrue())
			f.AddTally(start(1).ID, fleet.Tally{Failed: 5})
			Expect(f.Ejected()).To(Equal([]string{start(1).ID}))
			advice, ok := f.Advise(promptRequest(9))
			Expect(ok).To(BeTrue())

			Expect(f.Put(start(2))).To(BeTrue())
			Expect(f.Ejected()).To(BeEmpty(), "its failures")
			Expect(f.View()).To(HaveLen(1))
			Expect(f.View()[0].InFlight).To(BeZero(), "its requests")
			e, ok := f.Expect(promptRequest(7))
			Expect(ok).To(BeTrue())
			Expect(e.PrefillTokens).To(Equal(6000), "its cached prompts")
			Expect(e.Queue).To(BeZero(), "its awaited responses")

			sent.Head(fleet.Load{Running: 4, Waiting: 30, Slots: 4}) // over the connection that was still open
			sent.Done(fleet.Result{Outcome: fleet.OutcomeFailed})
			f.AddTally(start(1).ID, fleet.Tally{Lost: 1})
			f.ApplyEjections([]string{start(1).ID})
			f.Report(start(1).ID, fleet.Report{Load: fleet.Load{Running: 40, Slots: 4}, Draining: true})
			f.ObserveHead(fleet.HeadReport{Endpoint: start(1).ID, Service: "s", Model: "m", Ticket: advice.Ticket, Load: fleet.Load{Running: 4, Waiting: 30, Slots: 4}})
			_, ok = f.PickAt(advice, promptRequest(9))
			Expect(ok).To(BeFalse(), "advice on the earlier start")
			view := f.View()[0]
			Expect(view.InFlight).To(BeZero())
			Expect(view.Others).To(BeZero())
			Expect(view.Ready).To(BeTrue())
			time.Sleep(2 * time.Second) // until it is warm
			h, ok := f.Pick(plainRequest)
			Expect(ok).To(BeTrue())
			Expect(h.Endpoint.Instance).To(Equal("e"))
		})
	})

	It("is not replaced by a late entry of the earlier start", func() {
		f := fleet.New(fleet.Options{Hall: "ikeja"})
		f.Put(start(2))
		f.Put(start(1))
		f.Reset([]fleet.Endpoint{start(1)}, false)
		now, ok := f.Listed("e")
		Expect(ok).To(BeTrue())
		Expect(now.Born).To(Equal(int64(2)))
	})

	It("stays the same start if its entry does not state the start", func() {
		f := fleet.New(fleet.Options{Hall: "ikeja"})
		f.Put(start(2))
		again := f.Put(fleet.Endpoint{ID: "e", Service: "s", Hall: "ikeja", Draining: true})
		Expect(again).To(BeFalse())
		now, _ := f.Listed("e")
		Expect(now.Born).To(Equal(int64(2)))
		_, ok := f.Pick(plainRequest)
		Expect(ok).To(BeFalse(), "it is draining")
	})

	It("is removed with its entry, whatever its ID", func() {
		for name, gone := range map[string]func(*fleet.Fleet){
			"removed":        func(f *fleet.Fleet) { f.Remove("e") },
			"not in a list":  func(f *fleet.Fleet) { f.Reset(nil, false) },
			"not again":      func(f *fleet.Fleet) { f.Lapse("e"); time.Sleep(3 * time.Second); f.Sweep() },
			"started, gone":  func(f *fleet.Fleet) { f.Put(start(5)); f.Remove("e") },
			"a list of none": func(f *fleet.Fleet) { f.Reset([]fleet.Endpoint{}, false) },
		} {
			suite.Paused(func() {
				f := fleet.New(fleet.Options{Hall: "ikeja"})
				f.Put(start(1))
				gone(f)
				_, ok := f.Pick(plainRequest)
				Expect(ok).To(BeFalse(), name)
			})
		}
	})
})
