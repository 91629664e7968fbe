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
	newFleet := func(endpoints int) *fleet.Fleet {
		f := fleet.New(fleet.Options{})
		for i := range endpoints {
			f.Put(fleet.Endpoint{ID: fmt.Sprint("e", i), Service: "s", Slots: 6})
		}
		return f
	}
	brittleFleet := func(endpoints int) *fleet.Fleet {
		f := newFleet(endpoints)
		f.ObserveBrittle("e0", fleet.Brittle{Named: true, Rejections: 4}, clock.Now())
		return f
	}
	request := fleet.Request{Service: "s"}
	pick := func(f *fleet.Fleet) *fleet.Hold {
		h, ok := f.Pick(request)
		Expect(ok).To(BeTrue())
		return h
	}

	It("need a place for each request, from the first response on that says so", func() {
		suite.Paused(func() {
			f := newFleet(2)
			_, needed := pick(f).NeedsPlace()
			Expect(needed).To(BeFalse())
			f.ObserveBrittle("e0", fleet.Brittle{Named: true, Rejections: 4}, clock.Now())
			h := pick(f)
			h.Head(fleet.Load{Running: 2, Waiting: 1, Slots: 5})
			time.Sleep(time.Second)
			need, needed := h.NeedsPlace()
			Expect(needed).To(BeTrue())
			Expect(need).To(Equal(fleet.PlaceNeed{Endpoint: h.Endpoint.ID, Survives: 4, Slots: 6, Occupied: 3, ReportSlots: 5, ReportAge: time.Second}))
		})
	})

	It("are not chosen by a host for as long as they have no place for it", func() {
		suite.Paused(func() {
			f := brittleFleet(2)
			full := pick(f)
			full.NoPlace(100 * time.Millisecond)
			full.Done(fleet.Result{Outcome: fleet.OutcomeNotSent})
			for range 10 {
				Expect(pick(f).Endpoint.ID).NotTo(Equal(full.Endpoint.ID))
			}
			time.Sleep(100 * time.Millisecond)
			chosen := map[string]bool{}
			for range 10 {
				chosen[pick(f).Endpoint.ID] = true
			}
			Expect(chosen).To(HaveKey(full.Endpoint.ID))
		})
	})

	It("that are ejected get no request only because the others have no place", func() {
		suite.Paused(func() {
			f := brittleFleet(2)
			f.ApplyEjections([]string{"e0"})
			full := pick(f)
			Expect(full.Endpoint.ID).To(Equal("e1"))
			full.NoPlace(100 * time.Millisecond)
			_, ok := f.Pick(request)
			Expect(ok).To(BeFalse())
		})
	})

	It("are taken as usual once they say no more, but not by a response beside others that do", func() {
		suite.Paused(func() {
			f := brittleFleet(2)
			time.Sleep(900 * time.Millisecond)
			before, after := f.ObserveBrittle("e1", fleet.Brittle{}, clock.Now())
			Expect([]int{before, after}).To(Equal([]int{4, 4}))
			time.Sleep(200 * time.Millisecond)
			before, after = f.ObserveBrittle("e1", fleet.Brittle{}, clock.Now())
			Expect([]int{before, after}).To(Equal([]int{4, 0}))
			_, needed := pick(f).NeedsPlace()
			Expect(needed).To(BeFalse())
		})
	})

	It("are told of to other hosts once, and to hosts that start for as long as they are", func() {
		suite.Paused(func() {
			f := brittleFleet(1)
			time.Sleep(time.Second)
			told := []fleet.CostlyService{{Service: "s", Survives: 4, ConfirmedAgo: time.Second}}
			Expect(f.TakeCostly()).To(Equal(told))
			Expect(f.TakeCostly()).To(BeEmpty())
			Expect(f.CostlyServices()).To(Equal(told))
			other := newFleet(1)
			other.MergeCostly(told[0])
			need, needed := pick(other).NeedsPlace()
			Expect(needed).To(BeTrue())
			Expect(need.Survives).To(Equal(4))
			Expect(other.TakeCostly()).To(Equal(told), "it tells others in turn")
			time.Sleep(30 * time.Second)
			Expect(f.CostlyServices()).To(BeEmpty(), "no response has said so for long")
		})
	})
})
