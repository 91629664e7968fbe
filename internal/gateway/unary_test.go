package gateway_test

import (
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/standin/suite"
	"quaybarrow/platform/standin"
)

type scripts = map[string]func(int, *http.Request) standin.Script

// between returns a script for several endpoints: the first request to any of them gets one
// response, and all later requests get another.
func between(first, then standin.Script) func(int, *http.Request) standin.Script {
	var n atomic.Int64
	return func(int, *http.Request) standin.Script {
		if n.Add(1) == 1 {
			return first
		}
		return then
	}
}

var good = standin.Reply{Status: 200, Body: "done"}

// unaryCases are requests whose first attempt ends as scripted and whose later attempts succeed.
var unaryCases = map[string]struct {
	path   string
	script standin.Script
	status int
	runs   int
	sealed bool
}{
	"a good response is forwarded":                            {"/once/1", good, 200, 1, true},
	"a repeatable request whose endpoint fails runs again":    {"/again/1", standin.Reply{Status: 500, Body: "no"}, 200, 2, true},
	"a failure of a non-repeatable request is forwarded":      {"/once/1", standin.Reply{Status: 500, Body: "no"}, 500, 1, true},
	"a reset leaves it unknown whether the request ran":       {"/once/1", standin.Reset{}, 502, 1, false},
	"a repeatable request that was reset runs again":          {"/again/1", standin.Reset{}, 200, 2, true},
	"a request that an endpoint refused to run is sent again": {"/once/1", standin.Reply{Status: 503, NotRun: true}, 200, 2, true},
	"a response without a seal is not forwarded":              {"/once/1", standin.Reply{Status: 200, Body: "x", Bare: true}, 502, 1, false},
	"a truncated body is not forwarded":                       {"/once/1", standin.Reply{Status: 200, Body: "whole body", Cut: 4}, 502, 1, false},
	"a repeatable request with a truncated body runs again":   {"/again/1", standin.Reply{Status: 200, Body: "whole body", Cut: 4}, 200, 2, true},
	"a body that ends with the connection is complete":        {"/once/1", standin.Reply{Status: 200, Body: "whole body", Unsized: true}, 200, 1, true},
	"a response to another request is skipped":                {"/once/1", standin.Reply{Status: 200, Body: "mine", Stray: true}, 200, 1, true},
}

var _ = Describe("unary requests", func() {
	for name, c := range unaryCases {
		It(name, func() {
			suite.Paused(func() {
				both := between(c.script, good)
				r := newRig(scripts{"plain-1": both, "plain-2": both})
				defer r.stop()
				a := r.ask(request("POST", c.path, "body"))
				Expect(a.Err).NotTo(HaveOccurred())
				Expect(a.Status).To(Equal(c.status))
				Expect(r.runs()).To(Equal(c.runs))
				Expect(a.SealedBy() != "").To(Equal(c.sealed))
			})
		})
	}

	It("never forward a response to another request", func() {
		suite.Paused(func() {
			r := newRig(scripts{"plain-1": standin.Always(standin.Reply{Status: 200, Body: "mine", Stray: true})})
			defer r.stop()
			Expect(r.ask(request("POST", "/once/1", "x")).Body).To(Equal("mine"))
		})
	})

	It("are not answered by a late copy of the rejection of an earlier attempt", func() {
		suite.Paused(func() {
			r := newRig(scripts{"plain-1": func(n int, _ *http.Request) standin.Script {
				if n == 0 {
					return standin.Reply{Status: 503, NotRun: true, Again: 40 * time.Millisecond}
				}
				return standin.Reply{Status: 200, Body: "done", Delay: 60 * time.Millisecond}
			}})
			defer r.stop()
			a := r.ask(request("POST", "/once/1", "x"))
			Expect(a.Status).To(Equal(200))
			Expect(a.Body).To(Equal("done"))
			Expect(r.ask(request("POST", "/once/2", "x")).Body).To(Equal("done"))
		})
	})

	strays := map[string]string{
		"that says a request did not run": "HTTP/1.1 400 Bad Request\r\n" + standin.NotRunField + "Content-Length: 0\r\n\r\n",
		"that looks good":                 "HTTP/1.1 200 OK\r\n" + standin.SealField("stray") + "Content-Length: 5\r\n\r\nother",
		"to a request sent elsewhere":     "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n",
	}
	for name, stray := range strays {
		It("are not answered by a late response without an ID "+name, func() {
			suite.Paused(func() {
				r := newRig(scripts{"plain-1": func(n int, _ *http.Request) standin.Script {
					if n == 0 {
						return standin.Reply{Status: 200, Body: "first", Again: 40 * time.Millisecond, Late: stray}
					}
					return standin.Reply{Status: 200, Body: "second", Delay: 60 * time.Millisecond}
				}})
				defer r.stop()
				Expect(r.ask(request("POST", "/once/1", "x")).Body).To(Equal("first"))
				a := r.ask(request("POST", "/once/2", "x"))
				Expect(a.Status).To(Equal(200))
				Expect(a.Body).To(Equal("second"))
				Expect(r.runs()).To(Equal(2))
			})
		})
	}

	It("do not reuse a connection after surplus bytes", func() {
		suite.Paused(func() {
			r := newRig(scripts{"plain-1": standin.Always(standin.Reply{Status: 200, Body: "a", Extra: "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nb"})})
			defer r.stop()
			for range 3 {
				Expect(r.ask(request("POST", "/once/1", "x")).Body).To(Equal("a"))
			}
			Expect(r.endpoints["plain-1"].Connections()).To(Equal(3))
		})
	})

	It("reuse a connection after a clean response", func() {
		suite.Paused(func() {
			r := newRig(scripts{"plain-1": standin.Always(good)})
			defer r.stop()
			for range 3 {
				Expect(r.ask(request("POST", "/once/1", "x")).Status).To(Equal(200))
			}
			Expect(r.endpoints["plain-1"].Connections()).To(Equal(1))
		})
	})

	It("are reported as not run only if nothing was sent", func() {
		suite.Paused(func() {
			r := newRig(scripts{"plain-1": standin.Always(good)})
			defer r.stop()
			for _, l := range r.listeners {
				_ = l.Close()
			}
			a := r.ask(request("POST", "/once/1", "x"))
			Expect(a.Status).To(Equal(http.StatusServiceUnavailable))
			Expect(a.Head.Get("Retry-After")).NotTo(BeEmpty())
			Expect(r.runs()).To(BeZero())
		})
	})

	It("fail at the route's timeout if the endpoint does not respond, and release it", func() {
		suite.Paused(func() {
			r := newRig(scripts{"plain-1": standin.Always(standin.NoReply{})})
			defer r.stop()
			start := time.Now()
			a := r.ask(request("POST", "/once/1", "x"))
			Expect(a.Status).To(Equal(http.StatusGatewayTimeout))
			Expect(time.Since(start)).To(Equal(2 * time.Second))
			time.Sleep(time.Second)
			Expect(r.endpoints["plain-1"].Requests()[0].Ended.Sub(start)).To(BeNumerically("~", 2*time.Second, 100*time.Millisecond))
		})
	})

	It("that are repeatable and get no response are sent to another endpoint in time", func() {
		suite.Paused(func() {
			both := between(standin.NoReply{}, good)
			r := newRig(scripts{"plain-1": both, "plain-2": both})
			defer r.stop()
			start := time.Now()
			Expect(r.ask(request("GET", "/again/1", "")).Status).To(Equal(200))
			Expect(time.Since(start)).To(BeNumerically("<", 300*time.Millisecond))
		})
	})

	It("release the endpoint when the caller disconnects", func() {
		suite.Paused(func() {
			r := newRig(scripts{"plain-1": standin.Always(standin.NoReply{})})
			defer r.stop()
			start := time.Now()
			c := r.call()
			c.send(request("POST", "/again/1", "x").Text())
			time.Sleep(300 * time.Millisecond)
			_ = c.Close()
			time.Sleep(time.Second)
			Expect(r.endpoints["plain-1"].Requests()[0].Ended.Sub(start)).To(BeNumerically("~", 300*time.Millisecond, 100*time.Millisecond))
		})
	})
})
