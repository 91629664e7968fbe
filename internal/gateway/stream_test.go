package gateway_test

import (
	"time"

	"fmt"
	"net/http"
	"strings"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/fleet"
	"quaybarrow/internal/standin/suite"
	"quaybarrow/platform/standin"
)

// events formats events as an endpoint sends them.
func events(from, to int, model string) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: of %s\n\n", i, model)
	}
	return b.String()
}

// prompt returns a request to a model.
func prompt(path string) standin.Request { return request("POST", path, "x").WithPrompt() }

var confident = standin.Stream{Events: 5, Confidence: 90}

var _ = Describe("streams", func() {
	It("are forwarded completely, with the endpoint's seal", func() {
		suite.Paused(func() {
			r := newRig(scripts{"model-1": standin.Always(confident)})
			defer r.stop()
			a := r.ask(prompt("/stream/1"))
			Expect(a.Err).NotTo(HaveOccurred())
			Expect(a.Body).To(Equal(events(1, 5, "small")))
			Expect(a.SealedBy()).To(Equal("model-1"))
		})
	})

	It("continue at another endpoint after a break inside an event", func() {
		suite.Paused(func() {
			both := between(standin.Stream{Events: 5, Confidence: 90, BreakAfter: 2}, confident)
			r := newRig(scripts{"model-1": both, "model-2": both})
			defer r.stop()
			a := r.ask(prompt("/stream/1"))
			Expect(a.Err).NotTo(HaveOccurred())
			Expect(a.Body).To(Equal(events(1, 5, "small")))
			Expect(r.runs()).To(Equal(2))
		})
	})

	// cuts are streams without a length that end where their endpoint has made more.
	cuts := map[string]standin.Stream{
		"one byte into an event": {Events: 5, Confidence: 90, BreakAfter: 2, BreakBytes: 1, Unsized: true},
		"inside an event":        {Events: 5, Confidence: 90, BreakAfter: 2, Unsized: true},
		"before the first event": {Confidence: 90, Unsized: true},
	}
	for name, cut := range cuts {
		It("without a length do not end as complete when they break off "+name, func() {
			suite.Paused(func() {
				both := between(cut, confident)
				r := newRig(scripts{"model-1": both, "model-2": both})
				defer r.stop()
				a := r.ask(prompt("/stream/1"))
				Expect(a.Err).NotTo(HaveOccurred())
				Expect(a.Body).To(Equal(events(1, 5, "small")))
				Expect(r.runs()).To(Equal(2))
			})
		})
	}

	It("continue at another endpoint if no event arrives and the connection stays open", func() {
		suite.Paused(func() {
			both := between(standin.Stream{Events: 5, Confidence: 90, StallAfter: 2}, confident)
			r := newRig(scripts{"model-1": both, "model-2": both})
			defer r.stop()
			start := time.Now()
			a := r.ask(prompt("/stream/1"))
			Expect(a.Err).NotTo(HaveOccurred())
			Expect(a.Body).To(Equal(events(1, 5, "small")))
			Expect(r.runs()).To(Equal(2))
			Expect(time.Since(start)).To(BeNumerically("<", 4*time.Second), "its caller disconnects after 8 s")
		})
	})

	// silences are streams whose caller disconnects while no event arrives.
	silences := map[string]standin.Script{
		"before the first event":        standin.NoReply{},
		"between two events":            standin.Stream{Events: 5, Confidence: 90, Gap: 3 * time.Second},
		"while no more events arrive":   standin.Stream{Events: 5, Confidence: 90, StallAfter: 1},
		"while a larger model is asked": standin.Stream{Events: 5, Confidence: 1, Gap: 3 * time.Second},
	}
	for name, script := range silences {
		It("release their endpoint when their caller disconnects "+name, func() {
			suite.Paused(func() {
				r := newRig(scripts{"model-1": standin.Always(script), "model-2": standin.Always(script)})
				defer r.stop()
				c := r.call()
				c.send(prompt("/stream/1").Text())
				time.Sleep(time.Second)
				Expect(r.gateway.InFlight()).To(Equal(int64(1)))
				runs := r.runs()
				_ = c.Close()
				time.Sleep(400 * time.Millisecond)
				Expect(r.gateway.InFlight()).To(BeZero())
				Expect(r.fleet.InFlight("model-1") + r.fleet.InFlight("model-2")).To(BeZero())
				time.Sleep(20 * time.Second)
				Expect(r.runs()).To(Equal(runs), "nothing more is sent")
			})
		})
	}

	It("that may not be resumed are waited for, however long they are silent", func() {
		suite.Paused(func() {
			r := newRig(scripts{"model-1": standin.Always(standin.Stream{Events: 5, Confidence: -1, StallAfter: 2})})
			defer r.stop()
			start := time.Now()
			Expect(r.ask(prompt("/fixed/1")).Err).To(HaveOccurred())
			Expect(time.Since(start)).To(BeNumerically("~", 15*time.Second, time.Second))
		})
	})

	It("that may not be resumed are aborted and do not look complete", func() {
		suite.Paused(func() {
			r := newRig(scripts{"model-1": standin.Always(standin.Stream{Events: 5, Confidence: -1, BreakAfter: 2})})
			defer r.stop()
			a := r.ask(prompt("/fixed/1"))
			Expect(a.Err).To(HaveOccurred())
			Expect(a.Body).To(Equal(events(1, 2, "*")))
			Expect(r.runs()).To(Equal(1))
		})
	})

	It("of a small model with low confidence are requested from the largest model", func() {
		suite.Paused(func() {
			r := newRig(scripts{"model-1": standin.Always(standin.Stream{Events: 5, Confidence: 10})})
			defer r.stop()
			a := r.ask(prompt("/stream/1"))
			Expect(a.Err).NotTo(HaveOccurred())
			Expect(a.Body).To(Equal(events(1, 5, "large")))
			Expect(r.runs()).To(Equal(2))
		})
	})

	It("that have started are not dropped for a larger model after a break", func() {
		suite.Paused(func() {
			both := between(standin.Stream{Events: 5, Confidence: 90, BreakAfter: 2}, standin.Stream{Events: 5, Confidence: 1})
			r := newRig(scripts{"model-1": both, "model-2": both})
			defer r.stop()
			a := r.ask(prompt("/stream/1"))
			Expect(a.Err).NotTo(HaveOccurred())
			Expect(a.Body).To(Equal(events(1, 5, "small")))
			Expect(r.runs()).To(Equal(2))
		})
	})

	It("of a small model are kept when the retry budget is spent", func() {
		suite.Paused(func() {
			r := newRig(scripts{"model-1": standin.Always(standin.Stream{Events: 5, Confidence: 10})})
			defer r.stop()
			r.gateway.SetRetryRatio(0.1)
			for range 10 {
				Expect(r.ask(prompt("/stream/1")).Err).NotTo(HaveOccurred())
			}
			Expect(r.runs()).To(Equal(12), "0.85 of a tenth of ten and the reserve of two")
		})
	})

	It("of a small model are kept where no attempt is left", func() {
		suite.Paused(func() {
			var sends atomic.Int32
			script := func(int, *http.Request) standin.Script {
				if sends.Add(1) <= 2 {
					return standin.Reply{Status: 500}
				}
				return standin.Stream{Events: 5, Confidence: 10}
			}
			r := newRig(scripts{"model-1": script, "model-2": script, "model-3": script})
			defer r.stop()
			r.gateway.SetRetryRatio(9)
			a := r.ask(prompt("/stream/1"))
			Expect(a.Err).NotTo(HaveOccurred())
			Expect(a.Body).To(Equal(events(1, 5, "small")))
			Expect(r.runs()).To(Equal(3))
		})
	})

	It("start with the largest model if all responses of the small model are dropped", func() {
		suite.Paused(func() {
			r := newRig(scripts{"model-1": standin.Always(standin.Stream{Events: 5, Confidence: 1})})
			defer r.stop()
			for range 60 {
				a := r.ask(prompt("/stream/1"))
				Expect(a.Err).NotTo(HaveOccurred())
				time.Sleep(100 * time.Millisecond)
			}
			before := r.runs()
			for range 40 {
				r.ask(prompt("/stream/1"))
				time.Sleep(100 * time.Millisecond)
			}
			Expect(r.runs()-before).To(BeNumerically("<", 60), "80 if each asked the small model first")
		})
	})

	It("of a small model are kept if the largest model's response would be late", func() {
		suite.Paused(func() {
			unsure := standin.Always(standin.Stream{Events: 5, Confidence: 10})
			r := newRig(scripts{"model-1": unsure, "model-2": unsure})
			defer r.stop()
			// Both endpoints process a prompt for longer than the objective.
			for _, other := range []string{"model-1", "model-2"} {
				hold, ok := r.fleet.Pick(fleet.Request{Service: "model", Key: 1, Model: "large", Tokens: 400_000, Avoid: []string{other}})
				Expect(ok).To(BeTrue())
				defer hold.Done(fleet.Result{})
			}
			a := r.ask(prompt("/stream/1"))
			Expect(a.Body).To(Equal(events(1, 5, "small")))
			Expect(r.runs()).To(Equal(1))
		})
	})

	It("start after the caller's last event", func() {
		suite.Paused(func() {
			r := newRig(scripts{"model-1": standin.Always(confident)})
			defer r.stop()
			a := r.ask(prompt("/stream/1").WithLastEvent("3"))
			Expect(a.Body).To(Equal(events(4, 5, "small")))
		})
	})

	It("that break at every endpoint end within the allowed attempts and do not look complete", func() {
		suite.Paused(func() {
			broken := standin.Always(standin.Stream{Events: 5, Confidence: 90, BreakAfter: 2})
			r := newRig(scripts{"model-1": broken, "model-2": broken, "model-3": broken, "model-4": broken})
			defer r.stop()
			a := r.ask(prompt("/stream/1"))
			Expect(a.Err).To(HaveOccurred())
			Expect(r.runs()).To(BeNumerically("<=", 3))
		})
	})
})
