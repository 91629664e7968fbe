package gateway_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/standin/suite"
	"quaybarrow/platform/standin"
)

// failures are ways in which an attempt ends early, and whether its endpoint has crashed in each.
var failures = map[string]struct {
	path    string
	script  standin.Script
	crashed bool
}{
	"an endpoint that crashes before its response":                    {"/again/1", standin.Crash{}, true},
	"an endpoint that crashes while running a non-repeatable request": {"/once/1", standin.Crash{}, true},
	"an endpoint that crashes after the response header":              {"/stream/1", standin.Crash{After: time.Second, Head: true}, true},
	"a connection that is reset":                                      {"/again/1", standin.Reset{}, false},
	"a stream that breaks off":                                        {"/stream/1", standin.Stream{Events: 3, BreakAfter: 1, Confidence: 100}, false},
	"an endpoint that does not respond":                               {"/again/1", standin.NoReply{}, false},
	"a body truncated by an endpoint that keeps running":              {"/again/1", standin.Reply{Status: 200, Body: "whole body", Cut: 4}, false},
	"a response that the endpoint did not produce":                    {"/again/1", standin.Reply{Status: 200, Body: "x", Bare: true}, false},
	"an endpoint that does not run the request":                       {"/again/1", standin.Reply{Status: 503, NotRun: true}, false},
	"an endpoint that responds with an error":                         {"/again/1", standin.Reply{Status: 500, Body: "no"}, false},
}

var _ = Describe("an attempt that ends early", func() {
	for name, b := range failures {
		It("counts as a crash only if the endpoint crashed: "+name, func() {
			suite.Paused(func() {
				both := between(b.script, good)
				if b.path == "/stream/1" {
					both = between(b.script, standin.Stream{Events: 3, Confidence: 100})
				}
				r := newRig(scripts{"plain-1": both, "plain-2": both, "model-1": both, "model-2": both})
				defer r.stop()
				r.ask(request("POST", b.path, "x"))
				if b.crashed {
					Expect(r.log.text()).To(ContainSubstring("endpoint crashed under a request"))
					return
				}
				Expect(r.log.text()).NotTo(ContainSubstring("endpoint crashed under a request"))
			})
		})
	}

	It("does not count as a crash if the endpoint was removed from the fleet", func() {
		suite.Paused(func() {
			r := newRig(scripts{"plain-1": standin.Always(standin.Crash{After: 100 * time.Millisecond})})
			defer r.stop()
			c := r.call()
			defer func() { _ = c.Close() }()
			c.send(request("POST", "/again/1", "x").Text())
			time.Sleep(50 * time.Millisecond)
			r.fleet.Remove("plain-1")
			c.read()
			Expect(r.log.text()).NotTo(ContainSubstring("endpoint crashed under a request"))
		})
	})

	It("has the same fingerprint under another id, and a different one with another body", func() {
		suite.Paused(func() {
			prints := map[string]bool{}
			for _, q := range []standin.Request{
				request("POST", "/once/1", "x").WithID("a"), request("POST", "/once/1", "x").WithID("b"), request("POST", "/once/1", "y"),
			} {
				r := newRig(scripts{"plain-1": standin.Always(standin.Crash{})})
				r.ask(q)
				prints[fingerprintIn(r.log.text())] = true
				r.stop()
			}
			Expect(prints).To(HaveLen(2))
		})
	})
})
