package gateway_test

import (
	"net/http"
	"strconv"
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
	ms, err := strconv.Atoi(last.Head.Get("Deadline-Ms"))
	Expect(err).NotTo(HaveOccurred())
	return time.Duration(ms) * time.Millisecond
}
