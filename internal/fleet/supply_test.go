package fleet_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/fleet"
	"quaybarrow/internal/standin/suite"
)

var _ = Describe("the supply of a service", func() {
	It("counts only the endpoints that take requests now, with their slots and pace", func() {
		suite.Paused(func() {
			f := fleet.New(fleet.Options{Hall: "ikeja"})
			Expect(f.Supply("s")).To(Equal(fleet.Supply{Pace: 1}))
			for _, id := range []string{"a", "b", "draining", "leaving", "paused", "ejected", "evacuated"} {
				f.Put(fleet.Endpoint{ID: id, Service: "s", Hall: "ikeja", Slots: 4})
			}
			f.Put(fleet.Endpoint{ID: "of another service", Service: "t", Hall: "ikeja", Slots: 100})
			f.Put(fleet.Endpoint{ID: "draining", Service: "s", Hall: "ikeja", Slots: 4, Draining: true})
			f.Put(fleet.Endpoint{ID: "evacuated", Service: "s", Hall: "lekki", Slots: 4})
			f.Evacuate([]string{"lekki"})
			f.NoteLeaving("leaving", fleet.NoticeSource{})
			f.NotePause("paused", time.Second, fleet.NoticeSource{})
			f.ApplyEjections([]string{"ejected"})
			Expect(f.Supply("s")).To(Equal(fleet.Supply{Endpoints: 2, Slots: 4, Pace: 1}))

			h, ok := f.PickAt(fleet.Advice{Endpoint: "a"}, fleet.Request{Service: "s"})
			Expect(ok).To(BeTrue())
			load := fleet.Load{Slots: 8, Pace: 3}
			h.Head(load)
			h.Done(fleet.Result{Outcome: fleet.OutcomeGood, Load: load})
			slowed := f.Supply("s")
			Expect(slowed.Slots).To(Equal(6.0), "mean of the slots reported and listed")
			Expect(slowed.Pace).To(BeNumerically(">", 1.1))
			Expect(slowed.Pace).To(BeNumerically("<", 2))

			time.Sleep(time.Minute)
			Expect(f.Supply("s").Endpoints).To(Equal(4), "the pause and the ejection have ended")
		})
	})
})
