package gateway_test

import (
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/standin/suite"
	"quaybarrow/platform/standin"
)

// suspensions are durations for which the machine is suspended while a request with a timeout of two
// seconds is at an endpoint that fails after a tenth of a second.
var suspensions = map[string]struct {
	duration    time.Duration
	runs        int           // of the request
	maxTimeLeft time.Duration // upper bound of the time that the last endpoint is told
}{
	"not at all":                   {0, 2, 1900 * time.Millisecond},
	"for a part of its time":       {time.Second, 2, 900 * time.Millisecond},
	"until its time is over":       {1900 * time.Millisecond, 1, 2 * time.Second},
	"for long after it was needed": {time.Minute, 1, 2 * time.Second},
}

var _ = Describe("a request on a machine that is suspended", func() {
	for name, s := range suspensions {
		It("tells endpoints the time that is left, and is not sent again if none is: "+name, func() {
			suite.Paused(func() {
				failing := standin.Reply{Status: http.StatusInternalServerError, Body: "no", Delay: 100 * time.Millisecond}
				both := between(failing, good)
				r := newRig(scripts{"plain-1": both, "plain-2": both})
				defer r.stop()
				q := request("POST", "/again/1", "x")
				q.DeadlineMs = 2000
				answers := make(chan standin.Response, 1)
				go func() { answers <- r.ask(q) }()
				time.Sleep(50 * time.Millisecond)
				clock.SimulateSuspension(s.duration)
				Expect((<-answers).Err).NotTo(HaveOccurred(), "a response is delivered even if it is late")
				Expect(r.runs()).To(Equal(s.runs))
				Expect(r.lastTimeLeft()).To(BeNumerically("<=", s.maxTimeLeft))
			})
		})
	}

	It("that arrives after the machine has resumed is in time", func() {
		suite.Paused(func() {
			r := newRig(scripts{"plain-1": standin.Always(good)})
			defer r.stop()
			clock.SimulateSuspension(time.Hour)
			Expect(r.ask(request("POST", "/once/1", "x")).Status).To(Equal(http.StatusOK))
		})
	})
})

// lastTimeLeft returns the time left that the last request to an endpoint stated.
func (r *rig) lastTimeLeft() time.Duration {
	var last standin.ReceivedRequest
	for _, e := range r.endpoints {
		for _, s := range e.Requests() {
			if s.At.After(last.At) {
				last = s
			}
		}
	}
	left, err := last.TimeLeft()
	Expect(err).NotTo(HaveOccurred())
	return left
}

// Each guards against a response that states no length, was cut by a crash while the host stood still, and
// passes for whole since its endpoint listens again.
var _ = Describe("a response that states no length and ends while the host stands still", func() {
	withStalls := func(r *rig) (stop context.CancelFunc) {
		ctx, cancel := context.WithCancel(context.Background())
		r.gateway.Stalls = clock.NewStalls()
		go r.gateway.Stalls.Run(ctx)
		return cancel
	}
	cut := standin.Stream{Events: 3, Confidence: 90, Unsized: true, Gap: 100 * time.Millisecond}

	It("is continued elsewhere if it is a stream, and not held against its endpoint", func() {
		suite.Paused(func() {
			both := between(cut, confident)
			r := newRig(scripts{"model-1": both, "model-2": both})
			defer r.stop()
			defer withStalls(r)()
			time.AfterFunc(250*time.Millisecond, func() { clock.SimulateSuspension(time.Second) })
			a := r.ask(prompt("/stream/1"))
			Expect(a.Err).NotTo(HaveOccurred())
			Expect(a.Body).To(Equal(events(1, 5, "small")))
			for _, e := range r.fleet.View() {
				Expect(e.Ready).To(BeTrue())
			}
		})
	})

	for name, c := range map[string]struct {
		script  standin.Reply
		stall   time.Duration
		status  int
		stalled time.Duration // from the request on
	}{
		"no stall":               {standin.Reply{Status: 200, Body: "done", Unsized: true, Delay: 100 * time.Millisecond}, 0, 200, 50 * time.Millisecond},
		"shorter than a restart": {standin.Reply{Status: 200, Body: "done", Unsized: true, Delay: 100 * time.Millisecond}, 100 * time.Millisecond, 200, 50 * time.Millisecond},
		"a stall":                {standin.Reply{Status: 200, Body: "done", Unsized: true, Delay: 100 * time.Millisecond}, time.Second, 502, 50 * time.Millisecond},
		"a stall, with a length": {standin.Reply{Status: 200, Body: "done", Delay: 100 * time.Millisecond}, time.Second, 200, 50 * time.Millisecond},
	} {
		It("is not passed on as whole: "+name, func() {
			suite.Paused(func() {
				r := newRig(scripts{"plain-1": standin.Always(c.script)})
				defer r.stop()
				defer withStalls(r)()
				time.AfterFunc(c.stalled, func() { clock.SimulateSuspension(c.stall) })
				Expect(r.ask(withDeadline(request("POST", "/once/1", "x"), 15000)).Status).To(Equal(c.status))
			})
		})
	}
})
