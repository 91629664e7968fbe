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

// fill has other requests hold an endpoint's slots, and many wait there.
func (r *rig) fill(count int) []*fleet.Hold {
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

var _ = Describe("a stream while engines are full", func() {
	It("that can't be served is refused at once, and its caller told to come back late", func() {
		suite.Paused(func() {
			r := newRig(scripts{"model-1": standin.Always(sure)})
			defer r.stop()
			r.fill(200)
			start := time.Now()
			a := r.ask(prompt("/stream/1"))
			Expect(a.Status).To(Equal(503))
			Expect(time.Since(start)).To(BeNumerically("<", 250*time.Millisecond), "an eighth of the objective")
			after, err := strconv.ParseFloat(a.Head.Get("Retry-After"), 64)
			Expect(err).NotTo(HaveOccurred())
			const heeded = 15.0 / 3 // of the time that the caller gives
			Expect(after).To(BeNumerically(">", 0.65*heeded))
			Expect(after).To(BeNumerically("<=", heeded))
			Expect(r.runs()).To(BeZero())
		})
	})

	It("waits for its turn here, and is served as soon as there is room", func() {
		suite.Paused(func() {
			r := newRig(scripts{"model-1": standin.Always(sure)})
			defer r.stop()
			holds := r.fill(24)
			start := time.Now()
			answered := make(chan standin.Answer)
			go func() { answered <- r.ask(prompt("/stream/1")) }()
			time.Sleep(2 * time.Second)
			Expect(r.runs()).To(BeZero())
			release(holds)
			a := <-answered
			Expect(a.Body).To(Equal(events(1, 5, "small")))
			Expect(time.Since(start)).To(BeNumerically("<", 4*time.Second))
		})
	})

	It("that waits is forgotten when its caller leaves", func() {
		suite.Paused(func() {
			r := newRig(scripts{"model-1": standin.Always(sure)})
			defer r.stop()
			holds := r.fill(24)
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

	It("that waits at a host which stops is sent elsewhere", func() {
		suite.Paused(func() {
			r := newRig(scripts{"model-1": standin.Always(sure)})
			defer r.stop()
			holds := r.fill(24)
			answered := make(chan standin.Answer)
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

	It("takes a rejection for no answer that has begun", func() {
		suite.Paused(func() {
			r := newRig(scripts{"model-1": standin.Always(standin.Reply{Status: 503, NotRun: true})})
			defer r.stop()
			var heard []fleet.HeadReport
			r.fleet.OnHead(func(h fleet.HeadReport) { heard = append(heard, h) })
			Expect(r.ask(prompt("/stream/1")).Status).To(Equal(503))
			Expect(heard).NotTo(BeEmpty())
			for _, h := range heard {
				Expect(h.Refused).To(BeTrue())
			}
		})
	})
})
