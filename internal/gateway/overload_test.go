package gateway_test

import (
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/fleet"
	"quaybarrow/internal/standin/suite"
	"quaybarrow/platform/standin"
)

// occupySlots makes count other requests hold slots of the service's endpoints or wait there.
func (r *rig) occupySlots(count int) []*fleet.Hold {
	var holds []*fleet.Hold
	for i := range count {
		h, ok := r.fleet.Pick(fleet.Request{Service: "model", Key: uint64(i) + 1, Model: "small", Tokens: 300, Objective: time.Second})
		Expect(ok).To(BeTrue())
		holds = append(holds, h)
	}
	return holds
}

func release(holds []*fleet.Hold) {
	for _, h := range holds {
		h.Head(fleet.Load{})
		h.Done(fleet.Result{Outcome: fleet.OutcomeGood})
	}
}

var _ = Describe("a stream while all engines are full", func() {
	It("that can't be served is refused at once, with a long Retry-After", func() {
		suite.Paused(func() {
			r := newRig(scripts{"model-1": standin.Always(confident)})
			defer r.stop()
			r.occupySlots(200)
			start := time.Now()
			a := r.ask(prompt("/stream/1"))
			Expect(a.Status).To(Equal(503))
			Expect(time.Since(start)).To(BeNumerically("<", 250*time.Millisecond), "an eighth of the objective")
			after, err := strconv.ParseFloat(a.Head.Get("Retry-After"), 64)
			Expect(err).NotTo(HaveOccurred())
			const maxRetryAfter = 15.0 / 3 // callers wait for at most a third of their 15 s
			Expect(after).To(BeNumerically(">", 0.65*maxRetryAfter))
			Expect(after).To(BeNumerically("<=", maxRetryAfter))
			Expect(r.runs()).To(BeZero())
		})
	})

	It("waits for its turn at the host, and is served as soon as there is capacity", func() {
		suite.Paused(func() {
			r := newRig(scripts{"model-1": standin.Always(confident)})
			defer r.stop()
			holds := r.occupySlots(24)
			start := time.Now()
			answered := make(chan standin.Response)
			go func() { answered <- r.ask(prompt("/stream/1")) }()
			time.Sleep(2 * time.Second)
			Expect(r.runs()).To(BeZero())
			release(holds)
			a := <-answered
			Expect(a.Body).To(Equal(events(1, 5, "small")))
			Expect(time.Since(start)).To(BeNumerically("<", 4*time.Second))
		})
	})

	It("that waits is dropped when its caller disconnects", func() {
		suite.Paused(func() {
			r := newRig(scripts{"model-1": standin.Always(confident)})
			defer r.stop()
			holds := r.occupySlots(24)
			c := r.call()
			c.send(prompt("/stream/1").Text())
			time.Sleep(2 * time.Second)
			Expect(r.gateway.InFlight()).To(Equal(int64(1)))
			_ = c.Close()
			time.Sleep(100 * time.Millisecond)
			Expect(r.gateway.InFlight()).To(BeZero())
			release(holds)
			time.Sleep(10 * time.Second)
			Expect(r.runs()).To(BeZero())
		})
	})

	It("that waits at a host that starts to drain is refused with a short Retry-After", func() {
		suite.Paused(func() {
			r := newRig(scripts{"model-1": standin.Always(confident)})
			defer r.stop()
			holds := r.occupySlots(24)
			answered := make(chan standin.Response)
			go func() { answered <- r.ask(prompt("/stream/1")) }()
			time.Sleep(time.Second)
			r.gateway.Drain()
			start := time.Now()
			a := <-answered
			Expect(a.Status).To(Equal(503))
			Expect(a.Head.Get("Retry-After")).To(Equal("0.40"))
			Expect(time.Since(start)).To(BeNumerically("<=", 500*time.Millisecond))
			Expect(r.runs()).To(BeZero())
			release(holds)
		})
	})

	It("does not count a rejection as the start of a response", func() {
		suite.Paused(func() {
			r := newRig(scripts{"model-1": standin.Always(standin.Reply{Status: 503, NotRun: true})})
			defer r.stop()
			var reports []fleet.HeadReport
			r.fleet.OnHead(func(h fleet.HeadReport) { reports = append(reports, h) })
			Expect(r.ask(prompt("/stream/1")).Status).To(Equal(503))
			Expect(reports).NotTo(BeEmpty())
			for _, h := range reports {
				Expect(h.Refused).To(BeTrue())
			}
		})
	})
})
