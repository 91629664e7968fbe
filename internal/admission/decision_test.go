package admission_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/admission"
	"quaybarrow/internal/clock"
)

// decisionCases maps forecasts for a request to the expected decisions.
var decisionCases = map[string]struct {
	forecast admission.Forecast
	want     admission.Decision
}{
	"likely in time": {admission.Forecast{InTime: 0.6, ServedBehind: 0}, admission.Send{}},
	"late, and slots are free": {
		admission.Forecast{InTime: 0.1, ServedBehind: 1, QueueWait: 100 * time.Millisecond, FreeSlots: 1, Left: time.Second}, admission.Behind{},
	},
	"late, and there are fewer free slots than requests ahead of it": {
		admission.Forecast{InTime: 0.1, ServedBehind: 1, FreeSlots: 3, Ahead: 3, TurnWait: time.Second, Left: 4 * time.Second}, admission.Wait{For: 500 * time.Millisecond},
	},
	"late, and engines are busy": {
		admission.Forecast{InTime: 0.1, ServedBehind: 0.9, QueueWait: time.Second, TurnWait: 200 * time.Millisecond, Left: 4 * time.Second}, admission.Wait{For: 100 * time.Millisecond},
	},
	"the next one to be sent, and engines are busy": {
		admission.Forecast{InTime: 0.1, ServedBehind: 0.9, QueueWait: time.Second, Left: 4 * time.Second}, admission.Wait{For: 50 * time.Millisecond},
	},
	"not answered before its caller leaves": {admission.Forecast{ServedBehind: 0.05, QueueWait: 5 * time.Second, Left: time.Second}, admission.Refuse{}},
	"not sent before its caller leaves": {
		admission.Forecast{ServedBehind: 0.9, QueueWait: time.Second, TurnWait: 3 * time.Second, Left: 4 * time.Second}, admission.Refuse{},
	},
	"waiting already, even if it is now expected to be late": {
		admission.Forecast{ServedBehind: 0.05, QueueWait: 5 * time.Second, TurnWait: 3 * time.Second, Left: 4 * time.Second, Waiting: true}, admission.Wait{For: 500 * time.Millisecond},
	},
	"waiting already, with little time left": {
		admission.Forecast{ServedBehind: 0.05, QueueWait: 5 * time.Second, Head: time.Second, Left: time.Second, Waiting: true}, admission.Send{},
	},
}

var _ = Describe("decisions on requests to engines", func() {
	for name, o := range decisionCases {
		It("are made for one that is "+name, func() { Expect(admission.Decide(o.forecast)).To(Equal(o.want)) })
	}

	It("have refused callers retry as late as they obey, and not together", func() {
		Expect(admission.RetryDelay(18*time.Second, 0)).To(BeNumerically("~", 4200*time.Millisecond, time.Millisecond))
		Expect(admission.RetryDelay(18*time.Second, 1)).To(BeNumerically("~", 6*time.Second, time.Millisecond))
		Expect(admission.RetryDelay(time.Hour, 1)).To(Equal(8 * time.Second))
	})
})

var _ = Describe("the waiting list", func() {
	now := clock.Now()
	ahead := func(list *admission.WaitingList, id int64, urgency int, asked, at clock.Instant) int {
		n, _ := list.Ahead(id, urgency, asked, at)
		return n
	}

	It("is ordered by urgency, then by the time of sending, not by the time of insertion", func() {
		list := &admission.WaitingList{}
		late := list.Wait(0, 1, now, now, time.Second)
		early := list.Wait(0, 1, now.Add(-time.Second), now, time.Second)
		urgent := list.Wait(0, 0, now, now, time.Second)
		Expect(ahead(list, urgent, 0, now, now)).To(Equal(0))
		Expect(ahead(list, early, 1, now.Add(-time.Second), now)).To(Equal(1))
		Expect(ahead(list, late, 1, now, now)).To(Equal(2))
		list.Granted(urgent, now)
		list.Remove(early)
		Expect(ahead(list, late, 1, now, now)).To(Equal(0))
	})

	It("drops requests that do not ask again", func() {
		list := &admission.WaitingList{}
		list.Wait(0, 0, now, now, 50*time.Millisecond)
		Expect(ahead(list, 0, 1, now, now.Add(300*time.Millisecond))).To(Equal(1))
		Expect(ahead(list, 0, 1, now, now.Add(400*time.Millisecond))).To(Equal(0))
	})

	It("estimates the wait from the recent rate of sent requests", func() {
		list := &admission.WaitingList{}
		for range 10 {
			list.Wait(0, 0, now, now, time.Minute)
		}
		_, alone := list.Ahead(0, 1, now, now)
		for range 100 {
			list.Granted(0, now)
		}
		_, soon := list.Ahead(0, 1, now, now)
		_, later := list.Ahead(0, 1, now, now.Add(3*time.Second))
		Expect(alone).To(Equal(10 * time.Second))
		Expect(soon).To(BeNumerically("<", 300*time.Millisecond))
		Expect(later).To(Equal(alone))
	})

	// Held requests would otherwise take the places of those that wait for other reasons.
	It("bounds held requests apart from others, and keeps the place of one that asks again", func() {
		var list admission.WaitingList
		now := clock.Now()
		for range 600 {
			Expect(list.WaitHeld(0, 2, now, now, time.Second)).NotTo(BeZero())
		}
		id := list.Wait(0, 1, now, now, time.Second)
		Expect(id).NotTo(BeZero())
		for list.Wait(0, 1, now, now, time.Second) != 0 {
		}
		Expect(list.Wait(id, 1, now, now, time.Second)).To(Equal(id))
	})

	It("gives out ids that differ from those of another host", func() {
		a, b := &admission.WaitingList{}, &admission.WaitingList{}
		Expect(a.Wait(0, 0, now, now, time.Second)).NotTo(Equal(b.Wait(0, 0, now, now, time.Second)))
	})

	It("is bounded", func() {
		list := &admission.WaitingList{}
		refused := 0
		for range 1000 {
			if list.Wait(0, 0, now, now, time.Second) == 0 {
				refused++
			}
		}
		Expect(refused).To(Equal(1000 - 512))
	})
})
