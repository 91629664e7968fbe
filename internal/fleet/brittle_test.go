package fleet_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/fleet"
	"quaybarrow/internal/standin/suite"
)

var _ = Describe("brittle endpoints", func() {
	brittleFleet := func(hosts, endpoints, slots int) *fleet.Fleet {
		f := fleet.New(fleet.Options{Choosers: func() fleet.Choosers { return fleet.Choosers{Hosts: hosts} }})
		for i := range endpoints {
			f.Put(fleet.Endpoint{ID: fmt.Sprint("e", i), Service: "s", Slots: slots})
		}
		f.ObserveBrittle("e0", fleet.Brittle{Named: true, Rejections: 4}, clock.Now())
		return f
	}
	request := fleet.Request{Service: "s"}

	It("leave each host at least one to send to, however many hosts there are", func() {
		for range 50 {
			_, ok := brittleFleet(61, 4, 6).Pick(request)
			Expect(ok).To(BeTrue())
		}
	})

	It("get no more from a host than its share of the slots", func() {
		f := brittleFleet(3, 2, 7)
		for range 4 {
			_, ok := f.Pick(request)
			Expect(ok).To(BeTrue())
		}
		_, ok := f.Pick(request)
		Expect(ok).To(BeFalse())
	})

	It("are left alone for a while by a host that was rejected, and taken as usual once they say no more", func() {
		suite.Paused(func() {
			f := brittleFleet(1, 1, 4)
			h, ok := f.Pick(request)
			Expect(ok).To(BeTrue())
			h.Done(fleet.Result{Outcome: fleet.OutcomeRefused})
			_, ok = f.Pick(request)
			Expect(ok).To(BeFalse())
			time.Sleep(1100 * time.Millisecond)
			_, ok = f.Pick(request)
			Expect(ok).To(BeTrue())
			before, after := f.ObserveBrittle("e0", fleet.Brittle{}, clock.Now())
			Expect([]int{before, after}).To(Equal([]int{4, 0}))
			for range 10 {
				_, ok = f.Pick(request)
				Expect(ok).To(BeTrue())
			}
		})
	})
})
