package fleet_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/fleet"
	"quaybarrow/internal/standin/suite"
)

var _ = Describe("ejections", func() {
	It("are reported once each, with their source", func() {
		suite.Paused(func() {
			f := fleet.New(fleet.Options{})
			f.Put(fleet.Endpoint{ID: "e1", Service: "s"})
			f.Put(fleet.Endpoint{ID: "e2", Service: "s"})
			f.Put(fleet.Endpoint{ID: "e3", Service: "s"})
			var seen []string
			f.OnEjected(func(e fleet.Ejection) { seen = append(seen, e.Endpoint+": "+e.Outcome.String()+", "+string(e.Source)) })
			h, ok := f.Pick(fleet.Request{Service: "s", Avoid: []string{"e2", "e3"}})
			Expect(ok).To(BeTrue())
			h.Done(fleet.Result{Outcome: fleet.OutcomeLost})
			f.AddTally("e2", fleet.Tally{Lost: 1})
			f.ApplyEjections([]string{"e2", "e3"})
			f.ApplyEjections([]string{"e3"})
			Expect(seen).To(Equal([]string{
				"e1: not reached, attempts of this host",
				"e2: not reached, attempts of a host that asks for advice",
				"e3: neutral, the host that advises",
			}))
		})
	})

	It("of an endpoint that only this host can't reach don't keep the hosts from it that this one advises", func() {
		suite.Paused(func() {
			f := fleet.New(fleet.Options{Hall: "ikeja"})
			f.Put(fleet.Endpoint{ID: "near", Service: "s", Hall: "ikeja"})
			f.Put(fleet.Endpoint{ID: "far", Service: "s", Hall: "lekki"})
			request := fleet.Request{Service: "s", Key: 1, Objective: time.Second}
			h, ok := f.Pick(request)
			Expect(ok).To(BeTrue())
			Expect(h.Endpoint.ID).To(Equal("near"))
			h.Done(fleet.Result{Outcome: fleet.OutcomeUnreached})
			h, ok = f.Pick(request)
			Expect(ok).To(BeTrue())
			Expect(h.Endpoint.ID).To(Equal("far"))
			h.Done(fleet.Result{Outcome: fleet.OutcomeNeutral})
			advised, ok := f.Advise(request)
			Expect(ok).To(BeTrue())
			Expect(advised.Endpoint).To(Equal("near"))
		})
	})
})
