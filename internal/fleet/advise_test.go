package fleet_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/fleet"
	"quaybarrow/internal/standin/suite"
)

var _ = Describe("advice to other hosts", func() {
	// advise advises on prompts that have nothing in common.
	advise := func(f *fleet.Fleet, count int, from uint64) map[string][]fleet.Advice {
		counts := map[string][]fleet.Advice{}
		for i := range count {
			a, ok := f.Advise(fleet.Request{Service: "s", Key: from + uint64(i)<<8, Model: "m", Tokens: 10, Objective: 2 * time.Second})
			Expect(ok).To(BeTrue())
			counts[a.Endpoint] = append(counts[a.Endpoint], a)
		}
		return counts
	}

	It("fills the slots of all endpoints before a request has to wait", func() {
		suite.Paused(func() {
			f := newFleet() // six endpoints with four slots each
			counts := advise(f, 24, 1)
			Expect(counts).To(HaveLen(6))
			for id, list := range counts {
				Expect(len(list)).To(BeNumerically("<=", 5), id)
			}
		})
	})

	It("counts requests until they have ended, or for a while if their end is not reported", func() {
		suite.Paused(func() {
			f := newFleet()
			load := func() int {
				n := 0
				for range 6 {
					h, ok := f.Pick(plainRequest)
					Expect(ok).To(BeTrue())
					if h.Endpoint.ID == "e0" {
						n++
					}
					defer h.Done(fleet.Result{})
				}
				return n
			}
			for id, list := range advise(f, 60, 1) {
				for _, a := range list {
					if id != "e0" {
						f.EndAdvised(a)
					}
				}
			}
			Expect(load()).To(BeZero(), "the others are empty")
			time.Sleep(9 * time.Second)
			Expect(load()).To(BeNumerically(">", 0))
		})
	})

	It("is not followed if the endpoint may not be used", func() {
		f := newFleet()
		_, ok := f.PickAt(fleet.Advice{Endpoint: "e1"}, fleet.Request{Service: "s", Avoid: []string{"e1"}})
		Expect(ok).To(BeFalse())
		_, ok = f.PickAt(fleet.Advice{Endpoint: "e1"}, fleet.Request{Service: "s", Allowed: func(v string) bool { return v == "v2" }})
		Expect(ok).To(BeFalse())
		_, ok = f.PickAt(fleet.Advice{Endpoint: "e1"}, fleet.Request{Service: "t"})
		Expect(ok).To(BeFalse())
		_, ok = f.PickAt(fleet.Advice{Endpoint: "gone"}, plainRequest)
		Expect(ok).To(BeFalse())
		h, ok := f.PickAt(fleet.Advice{Endpoint: "e1"}, plainRequest)
		Expect(ok).To(BeTrue())
		ended := 0
		h.OnDone = func() { ended++ }
		h.Done(fleet.Result{Outcome: fleet.OutcomeLost})
		Expect(ended).To(Equal(1))
		_, ok = f.PickAt(fleet.Advice{Endpoint: "e1"}, plainRequest)
		Expect(ok).To(BeFalse(), "it could not be reached a moment ago")
	})

	It("contains the estimate that the hold uses", func() {
		suite.Paused(func() {
			f, other := newFleet(), newFleet()
			_, _ = f.Advise(documentPrompt(7, 100))
			a, _ := f.Advise(documentPrompt(7, 101))
			Expect(a.Expected.PrefillTokens).To(Equal(1_000))
			h, ok := other.PickAt(a, documentPrompt(7, 101))
			Expect(ok).To(BeTrue())
			Expect(h.Expected).To(Equal(a.Expected))
		})
	})

	It("expects no wait after a load that was prefilled faster than estimated", func() {
		suite.Paused(func() {
			f := newFleet()
			for own := range uint64(300) {
				a, _ := f.Advise(documentPrompt(1_000+own, 5_000+own))
				f.ObserveHead(fleet.HeadReport{Endpoint: a.Endpoint, Ticket: a.Ticket, Service: "s", Model: "m", Took: 60 * time.Millisecond, Expected: a.Expected.Head})
				f.EndAdvised(a)
			}
			a, _ := f.Advise(documentPrompt(7, 100))
			Expect(a.Expected.Head).To(BeNumerically("<", a.Expected.PrefillTime+100*time.Millisecond), "5 s by prefillUntil alone")
		})
	})

	It("recognizes full endpoints by their refusals of other hosts' requests", func() {
		suite.Paused(func() {
			f := newFleet()
			full := fleet.Load{Running: 4, Waiting: 12, Slots: 4}
			for _, id := range []string{"e0", "e1", "e2", "e3", "e4"} {
				f.ObserveHead(fleet.HeadReport{Endpoint: id, Service: "s", Model: "m", Load: full, Refused: true})
			}
			for i := range uint64(4) {
				a, _ := f.Advise(shortPrompt(10 + i))
				Expect(a.Endpoint).To(Equal("e5"))
			}
		})
	})

	It("assumes that endpoints without recent reports are as full as the others", func() {
		suite.Paused(func() {
			f := newFleet()
			for range 60 {
				for _, id := range []string{"e0", "e1", "e2", "e3", "e4"} {
					f.ObserveHead(fleet.HeadReport{Endpoint: id, Service: "s", Model: "m", Load: fleet.Load{Running: 4, Waiting: 8, Slots: 4}, Refused: true})
				}
			}
			a, _ := f.Advise(shortPrompt(1))
			Expect(a.Expected.Queue).To(BeNumerically(">", time.Second), "no wait was expected at the endpoint without reports")
		})
	})

	It("has tickets that differ from those of other advisors", func() {
		a, _ := newFleet().Advise(shortPrompt(1))
		b, _ := newFleet().Advise(shortPrompt(1))
		Expect(a.Ticket).NotTo(Equal(b.Ticket), "hosts report tickets of the previous advisor to the next one")
	})

	It("uses the head reports of other hosts", func() {
		suite.Paused(func() {
			f := newFleet()
			before, _ := f.Advise(documentPrompt(7, 100))
			for range 30 {
				f.ObserveHead(fleet.HeadReport{Endpoint: before.Endpoint, Service: "s", Model: "m", Took: 3 * time.Second, Expected: time.Second, PrefillTokens: 1_000, Exact: true,
					Load: fleet.Load{Running: 4, Waiting: 9, Slots: 4}})
				f.ObserveHead(fleet.HeadReport{Endpoint: "e5", Service: "s", Model: "m", Took: 100 * time.Millisecond, Expected: 100 * time.Millisecond, PrefillTokens: 1_000, Exact: true})
			}
			f.ObserveHead(fleet.HeadReport{Endpoint: "gone", Service: "s", Model: "m", Took: time.Second})
			after, _ := f.Advise(documentPrompt(7, 101))
			Expect(after.Endpoint).NotTo(Equal(before.Endpoint), "responses wait there")
			Expect(after.Expected.Price).To(BeNumerically(">", before.Expected.Price))
		})
	})

	It("ejects endpoints that fail other hosts, and not those that fail occasionally", func() {
		suite.Paused(func() {
			f := newFleet()
			for range 50 {
				f.AddTally("e1", fleet.Tally{Good: 6, Failed: 1}) // a seventh of the requests fail by themselves
			}
			Expect(f.Ejected()).To(BeEmpty())
			f.AddTally("e2", fleet.Tally{Failed: 9})
			f.AddTally("e3", fleet.Tally{Lost: 2})
			f.AddTally("gone", fleet.Tally{Lost: 2})
			Expect(f.Ejected()).To(ConsistOf("e2", "e3"))
			time.Sleep(10 * time.Second)
			Expect(f.Ejected()).To(BeEmpty())
		})
	})
})
