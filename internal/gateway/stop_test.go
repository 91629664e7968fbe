package gateway_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/standin/suite"
	"quaybarrow/platform/standin"
)

// lateUpload sends a request whose last byte comes after a while, and returns the response.
func (r *rig) lateUpload(q standin.Request, last time.Duration) standin.Response {
	c := r.call()
	defer func() { _ = c.Close() }()
	text := q.Text()
	c.send(text[:len(text)-1])
	time.Sleep(last)
	c.send(text[len(text)-1:])
	return c.read()
}

// withDeadline returns a request with a deadline in ms.
func withDeadline(q standin.Request, ms int) standin.Request {
	q.DeadlineMs = ms
	return q
}

// Each guards against requests that are sent so late in a stop that they are cut without an answer.
var _ = Describe("a request late in a stop", func() {
	kinds := map[string]standin.Request{
		"that may run once only":        withDeadline(request("POST", "/once/1", "some body"), 2000),
		"that may run again":            withDeadline(request("POST", "/again/1", "some body"), 2000),
		"for a stream":                  prompt("/stream/1"),
		"for a stream without a resume": prompt("/fixed/1"),
	}
	for name, q := range kinds {
		q.Body = "some body"
		It("is refused as not run if it was read too late, at once: "+name, func() {
			suite.Paused(func() {
				r := newRig(scripts{"plain-1": standin.Always(good), "model-1": standin.Always(confident)})
				defer r.stop()
				time.AfterFunc(300*time.Millisecond, func() { r.gateway.StopTaking(clock.Now().Add(time.Second)) })
				start := time.Now()
				a := r.lateUpload(q, 600*time.Millisecond)
				Expect(a.Status).To(Equal(http.StatusServiceUnavailable))
				Expect(a.Head.Get("Retry-After")).NotTo(BeEmpty())
				Expect(a.Close).To(BeTrue())
				Expect(time.Since(start)).To(Equal(600 * time.Millisecond))
				Expect(r.runs()).To(BeZero())
			})
		})
	}

	It("is served if its deadline passes before the host ends", func() {
		suite.Paused(func() {
			r := newRig(scripts{"plain-1": standin.Always(good)})
			defer r.stop()
			r.gateway.StopTaking(clock.Now().Add(3 * time.Second))
			Expect(r.lateUpload(withDeadline(request("POST", "/once/1", "some body"), 2000), 500*time.Millisecond).Status).To(Equal(http.StatusOK))
		})
	})

	for name, c := range map[string]struct {
		left   time.Duration
		status int
		runs   int
	}{
		"is repeated if its objective is before the end": {time.Second, http.StatusOK, 2},
		"is not repeated, and fails, if it is not":       {250 * time.Millisecond, http.StatusBadGateway, 1},
	} {
		It(name, func() {
			suite.Paused(func() {
				broken := standin.Reply{Status: 200, Body: "some body", Cut: 4, Delay: 50 * time.Millisecond}
				both := between(broken, good)
				r := newRig(scripts{"plain-1": both, "plain-2": both})
				defer r.stop()
				time.AfterFunc(25*time.Millisecond, func() { r.gateway.StopTaking(clock.Now().Add(c.left)) })
				start := time.Now()
				a := r.ask(request("POST", "/again/1", "x"))
				Expect(a.Status).To(Equal(c.status))
				Expect(time.Since(start)).To(BeNumerically("<", 150*time.Millisecond))
				Expect(r.runs()).To(Equal(c.runs))
			})
		})
	}

	for name, c := range map[string]struct {
		q      standin.Request
		status int
	}{
		"that may run once only": {request("POST", "/once/1", "x"), http.StatusBadGateway},
		"that may run again":     {request("POST", "/again/1", "x"), http.StatusBadGateway},
		"for a stream":           {prompt("/fixed/1"), http.StatusBadGateway},
	} {
		It("is answered if it is cut at the end, and neither sent again nor held against its endpoint: "+name, func() {
			suite.Paused(func() {
				r := newRig(scripts{"plain-1": standin.Always(standin.NoReply{}), "model-1": standin.Always(standin.NoReply{})})
				defer r.stop()
				time.AfterFunc(100*time.Millisecond, r.gateway.CutOff)
				start := time.Now()
				a := r.ask(c.q)
				Expect(a.Err).NotTo(HaveOccurred())
				Expect(a.Status).To(Equal(c.status))
				Expect(time.Since(start)).To(Equal(100 * time.Millisecond))
				Expect(r.runs()).To(Equal(1))
				for _, e := range r.fleet.View() {
					Expect(e.Ready).To(BeTrue())
				}
			})
		})
	}
})

var _ = Describe("a silent stream", func() {
	for name, drainAt := range map[string]time.Duration{"before the silence": 0, "during the silence": 2 * time.Second} {
		// Guards against a stream that is taken from its endpoint in a stop, and cut since no other takes it.
		It("is waited for while the host drains: "+name, func() {
			suite.Paused(func() {
				script := func(_ int, q *http.Request) standin.Script {
					if q.Header.Get("Last-Event-Id") != "" {
						return standin.Reply{Status: 503, NotRun: true}
					}
					return standin.Stream{Events: 3, Confidence: 90, Gap: 3500 * time.Millisecond}
				}
				r := newRig(scripts{"model-1": script, "model-2": script})
				defer r.stop()
				time.AfterFunc(drainAt, r.gateway.Drain)
				a := r.ask(prompt("/stream/1"))
				Expect(a.Err).NotTo(HaveOccurred())
				Expect(a.Body).To(Equal(events(1, 3, "small")))
				Expect(r.runs()).To(Equal(1))
			})
		})
	}
})
