package fleet_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/admission"
	"quaybarrow/internal/fleet"
	"quaybarrow/internal/prefill"
	"quaybarrow/internal/standin/suite"
)

// longRequest is a request that can wait: others to its service have a quarter of its objective.
func longRequest(key uint64) fleet.Request {
	return fleet.Request{
		Service: "s", Key: key << 8, Model: "m", Tokens: 6000, Objective: 4 * time.Second, Urgency: 2,
		Slack: 4 * time.Second, Remaining: 15 * time.Second, Budget: prefill.NewBudget(time.Second, 4*time.Second),
	}
}

// fillWithLong places requests that can wait until one is held back, and returns its decision.
func fillWithLong(f *fleet.Fleet) (sent int, held admission.Decision) {
	for key := uint64(1); ; key++ {
		h, decision := f.Place(longRequest(key))
		if h == nil {
			return sent, decision
		}
		sent++
	}
}

var _ = Describe("requests that can wait for others' prompts", func() {
	It("leave a slot of each endpoint to those that can't", func() {
		suite.Paused(func() {
			f := newFleet() // six endpoints with four slots each
			sent, held := fillWithLong(f)
			Expect(sent).To(BeNumerically(">=", 6), "no endpoint stands idle")
			Expect(sent).To(BeNumerically("<=", 18))
			Expect(held).To(BeAssignableToTypeOf(admission.Wait{}))
			for key := range uint64(6) {
				short := longRequest(100 + key)
				short.Tokens, short.Objective, short.Slack, short.Budget = 500, time.Second, time.Second, prefill.Budget{}
				h, decision := f.Place(short)
				Expect(h).NotTo(BeNil())
				Expect(decision).To(Equal(admission.Send{}))
			}
		})
	})

	It("go to an endpoint as soon as one has room, those that waited longest first", func() {
		suite.Paused(func() {
			f := newFleet()
			first, _ := f.Place(longRequest(1))
			_, held := fillWithLong(f)
			wait, ok := held.(admission.Wait)
			Expect(ok).To(BeTrue())
			time.Sleep(wait.For)
			first.Head(fleet.Load{Running: 1, Slots: 4})
			first.Done(fleet.Result{Outcome: fleet.OutcomeGood, Load: fleet.Load{Slots: 4}})
			h, decision := f.Place(longRequest(1000))
			Expect(h).To(BeNil(), "another one waits for that room")
			Expect(decision).NotTo(Equal(admission.Send{}))
			waited := longRequest(2000)
			waited.Turn, waited.Waited, waited.Slack, waited.Remaining = wait.Turn, wait.For, waited.Slack-wait.For, waited.Remaining-wait.For
			h, decision = f.Place(waited)
			Expect(h).NotTo(BeNil())
			Expect(decision).To(Equal(admission.Send{}))
		})
	})

	It("are refused at once if their turn would come too late", func() {
		suite.Paused(func() {
			f := newFleet()
			fillWithLong(f)
			refused := false
			for key := uint64(500); key < 1500 && !refused; key++ {
				_, decision := f.Place(longRequest(key))
				_, refused = decision.(admission.Refuse)
			}
			Expect(refused).To(BeTrue())
		})
	})

	It("are sent in any case before their callers leave", func() {
		suite.Paused(func() {
			f := newFleet()
			_, held := fillWithLong(f)
			late := longRequest(3000)
			late.Turn, late.Waited, late.Slack, late.Remaining = held.(admission.Wait).Turn, 14*time.Second, -10*time.Second, time.Millisecond
			h, _ := f.Place(late)
			Expect(h).NotTo(BeNil())
		})
	})

	It("are not held back once they may have run, or if nothing bounds them", func() {
		suite.Paused(func() {
			f := newFleet()
			fillWithLong(f)
			unbounded := longRequest(4000)
			unbounded.Budget, unbounded.MayHaveStarted = prefill.Budget{}, true
			h, _ := f.Place(unbounded)
			Expect(h).NotTo(BeNil())
		})
	})

	It("come before larger models of requests behind them", func() {
		suite.Paused(func() {
			f := newFleet()
			larger := longRequest(1)
			larger.Budget, larger.Order = prefill.NewLargerBudget(time.Second, 4*time.Second), 9
			_, available := f.Expect(larger)
			Expect(available).To(BeTrue())
			fillWithLong(f)
			_, available = f.Expect(larger)
			Expect(available).To(BeFalse(), "a larger model takes the room of several first answers")
		})
	})
})
