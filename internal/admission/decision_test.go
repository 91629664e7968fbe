package admission_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/admission"
	"quaybarrow/internal/clock"
)

// decisionCases are what is expected of a request, with what becomes of it.
var decisionCases = map[string]struct {
	forecast admission.Forecast
	want     admission.Decision
}{
	"likely in time": {admission.Forecast{InTime: 0.6, ServedBehind: 0}, admission.Send{}},
	"late, with idle slots": {
		admission.Forecast{InTime: 0.1, ServedBehind: 1, QueueWait: 100 * time.Millisecond, FreeSlots: 1, Left: time.Second}, admission.Behind{},
	},
	"late, with idle slots for fewer than go before it": {
		admission.Forecast{InTime: 0.1, ServedBehind: 1, FreeSlots: 3, Ahead: 3, TurnWait: time.Second, Left: 4 * time.Second}, admission.Wait{For: 500 * time.Millisecond},
	},
	"late, and engines are full": {
		admission.Forecast{InTime: 0.1, ServedBehind: 0.9, QueueWait: time.Second, TurnWait: 200 * time.Millisecond, Left: 4 * time.Second}, admission.Wait{For: 100 * time.Millisecond},
	},
	"next, and engines are full": {
		admission.Forecast{InTime: 0.1, ServedBehind: 0.9, QueueWait: time.Second, Left: 4 * time.Second}, admission.Wait{For: 50 * time.Millisecond},
	},
	"its caller leaves before an answer begins": {admission.Forecast{ServedBehind: 0.05, QueueWait: 5 * time.Second, Left: time.Second}, admission.Refuse{}},
	"its caller leaves before its turn": {
		admission.Forecast{ServedBehind: 0.9, QueueWait: time.Second, TurnWait: 3 * time.Second, Left: 4 * time.Second}, admission.Refuse{},
	},
	"it was let wait, whatever is expected now": {
		admission.Forecast{ServedBehind: 0.05, QueueWait: 5 * time.Second, TurnWait: 3 * time.Second, Left: 4 * time.Second, Waiting: true}, admission.Wait{For: 500 * time.Millisecond},
	},
	"it was let wait, and little is left": {
		admission.Forecast{ServedBehind: 0.05, QueueWait: 5 * time.Second, Head: time.Second, Left: time.Second, Waiting: true}, admission.Send{},
	},
}

var _ = Describe("the order among requests to engines", func() {
	for name, o := range decisionCases {
		It("decides on one that is: "+name, func() { Expect(admission.Decide(o.forecast)).To(Equal(o.want)) })
	}

	It("has refused callers come back as late as they heed, and not together", func() {
		Expect(admission.RetryDelay(18*time.Second, 0)).To(BeNumerically("~", 4200*time.Millisecond, time.Millisecond))
		Expect(admission.RetryDelay(18*time.Second, 1)).To(BeNumerically("~", 6*time.Second, time.Millisecond))
		Expect(admission.RetryDelay(time.Hour, 1)).To(Equal(8 * time.Second))
	})
})

var _ = Describe("turns of requests that wait", func() {
	now := clock.Now()
	ahead := func(t *admission.WaitingList, id int64, urgency int, asked, at clock.Instant) int {
		n, _ := t.Ahead(id, urgency, asked, at)
		return n
	}

	It("go by urgency, and then by who asked first, whenever they come", func() {
		t := &admission.WaitingList{}
		late := t.Wait(0, 1, now, now, time.Second)
		early := t.Wait(0, 1, now.Add(-time.Second), now, time.Second)
		urgent := t.Wait(0, 0, now, now, time.Second)
		Expect(ahead(t, urgent, 0, now, now)).To(Equal(0))
		Expect(ahead(t, early, 1, now.Add(-time.Second), now)).To(Equal(1))
		Expect(ahead(t, late, 1, now, now)).To(Equal(2))
		t.Granted(urgent, now)
		t.Remove(early)
		Expect(ahead(t, late, 1, now, now)).To(Equal(0))
	})

	It("lapse when nobody asks again", func() {
		t := &admission.WaitingList{}
		t.Wait(0, 0, now, now, 50*time.Millisecond)
		Expect(ahead(t, 0, 1, now, now.Add(300*time.Millisecond))).To(Equal(1))
		Expect(ahead(t, 0, 1, now, now.Add(400*time.Millisecond))).To(Equal(0))
	})

	It("come as fast as those before have lately gone", func() {
		t := &admission.WaitingList{}
		for range 10 {
			t.Wait(0, 0, now, now, time.Minute)
		}
		_, alone := t.Ahead(0, 1, now, now)
		for range 100 {
			t.Granted(0, now)
		}
		_, soon := t.Ahead(0, 1, now, now)
		_, later := t.Ahead(0, 1, now, now.Add(3*time.Second))
		Expect(alone).To(Equal(10 * time.Second))
		Expect(soon).To(BeNumerically("<", 300*time.Millisecond))
		Expect(later).To(Equal(alone))
	})

	It("of another host mean nothing", func() {
		a, b := &admission.WaitingList{}, &admission.WaitingList{}
		Expect(a.Wait(0, 0, now, now, time.Second)).NotTo(Equal(b.Wait(0, 0, now, now, time.Second)))
	})

	It("are bounded in number", func() {
		t := &admission.WaitingList{}
		refused := 0
		for range 1000 {
			if t.Wait(0, 0, now, now, time.Second) == 0 {
				refused++
			}
		}
		Expect(refused).To(Equal(1000 - 512))
	})
})
