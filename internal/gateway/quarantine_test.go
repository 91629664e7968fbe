package gateway_test

import (
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/standin/suite"
	"quaybarrow/platform/standin"
)

// crashOnBody returns a script that crashes on requests with one body and responds to all others.
func crashOnBody(body string, other standin.Script) func(int, *http.Request) standin.Script {
	return func(_ int, r *http.Request) standin.Script {
		if r.Header.Get("X-Body") == body {
			return standin.Crash{After: 50 * time.Millisecond}
		}
		return other
	}
}

// crashOnPart returns a script that crashes on requests with a part in their prompts.
func crashOnPart(part string) func(int, *http.Request) standin.Script {
	return func(_ int, r *http.Request) standin.Script {
		if standin.HasPartLike(r.Header, part) {
			return standin.Crash{After: 80 * time.Millisecond}
		}
		return standin.Stream{Events: 3, Confidence: 100}
	}
}

// askWithBody sends a request that carries its body in a header field too, where endpoint scripts can read it.
func (r *rig) askWithBody(path, body, id string) standin.Response {
	q := request("POST", path, body).WithID(id).With("X-Body: " + body)
	return r.ask(q)
}

// newCrashRig returns a rig with six endpoints of each service that crash on one request.
func newCrashRig() *rig {
	s := scripts{}
	for _, n := range []string{"1", "2", "3", "4", "5", "6"} {
		s["plain-"+n] = crashOnBody("bad", good)
		s["model-"+n] = crashOnBody("bad", standin.Stream{Events: 3, Confidence: 100})
	}
	return newRig(s)
}

// quarantinePaths has a path of each kind of route.
var quarantinePaths = map[string]string{
	"a call that may be repeated": "/again/1",
	"a call that runs once":       "/once/1",
	"a stream":                    "/stream/1",
}

var _ = Describe("a request that makes endpoints crash", func() {
	for name, path := range quarantinePaths {
		It("is refused permanently and at once from the third crash on, with a truthful status: "+name, func() {
			suite.Paused(func() {
				r := newCrashRig()
				defer r.stop()
				for _, id := range []string{"a", "b", "c", "d"} {
					before := r.runs()
					a := r.askWithBody(path, "bad", id)
					if r.runs() > before {
						Expect(a.Status).To(Equal(http.StatusBadGateway), "it ran")
					} else {
						Expect(a.Status).To(Equal(http.StatusServiceUnavailable), "it did not run")
					}
					time.Sleep(time.Second)
				}
				Expect(r.runs()).To(Equal(3))
				began := time.Now()
				a := r.askWithBody(path, "bad", "e")
				Expect(a.Status).To(Equal(http.StatusServiceUnavailable))
				Expect(a.Head.Get("Retry-After")).To(BeEmpty())
				Expect(a.Body).To(ContainSubstring("quarantined: endpoints crash under this request"))
				Expect(time.Since(began)).To(BeNumerically("<", 5*time.Millisecond))
				Expect(r.runs()).To(Equal(3))
			})
		})
	}

	It("does not affect other requests of its workspace, or a request with the same body to another path", func() {
		suite.Paused(func() {
			r := newCrashRig()
			defer r.stop()
			for _, id := range []string{"a", "b", "c"} {
				r.askWithBody("/once/1", "bad", id)
				time.Sleep(time.Second)
			}
			Expect(r.askWithBody("/once/1", "bad", "d").Status).To(Equal(http.StatusServiceUnavailable))
			Expect(r.askWithBody("/once/1", "fine", "e").Status).To(Equal(http.StatusOK))
			Expect(r.askWithBody("/once/2", "bad", "f").Status).To(Equal(http.StatusBadGateway), "it crashes another endpoint")
		})
	})

	It("is identified by its workspace too: the same request of another workspace, or of none, is a different one", func() {
		suite.Paused(func() {
			r := newCrashRig()
			defer r.stop()
			for _, id := range []string{"a", "b", "c"} {
				r.askWithBody("/open/1", "bad", id)
				time.Sleep(time.Second)
			}
			Expect(r.askWithBody("/open/1", "bad", "d").Status).To(Equal(http.StatusServiceUnavailable))
			Expect(r.askWithBody("/once/1", "bad", "e").Status).To(Equal(http.StatusBadGateway))
		})
	})

	It("is not sent again after its quarantine even if it arrived before", func() {
		suite.Paused(func() {
			r := newCrashRig()
			defer r.stop()
			asked := make(chan standin.Response, 8)
			for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
				go func() { asked <- r.askWithBody("/again/1", "bad", id) }()
				time.Sleep(40 * time.Millisecond)
			}
			for range 8 {
				<-asked
			}
			Expect(r.runs()).To(BeNumerically("<=", 7))
		})
	})

	// Guards against sending all waiting copies together: two of the crashes that emptied the service are
	// known, the third is not known yet.
	It("is sent one copy at a time to a service that it may have emptied", func() {
		suite.Paused(func() {
			r := newCrashRig()
			defer r.stop()
			r.grantTurns()
			later := []string{"plain-3", "plain-4", "plain-5", "plain-6"}
			for _, id := range later {
				r.fleet.Remove(id)
			}
			r.askWithBody("/again/1", "bad", "a")
			Expect(r.runs()).To(Equal(2), "both listed endpoints crashed")
			r.fleet.Remove("plain-1")
			r.fleet.Remove("plain-2")
			asked := make(chan standin.Response, 8)
			for _, id := range []string{"b", "c", "d", "e", "f"} {
				go func() { asked <- r.askWithBody("/again/1", "bad", id) }()
			}
			time.Sleep(30 * time.Millisecond)
			r.relist(later...)
			for range 5 {
				Expect((<-asked).Status).NotTo(Equal(http.StatusOK))
			}
			Expect(r.runs()).To(BeNumerically("<=", 3), "the third crash quarantines it")
		})
	})

	// Guards against sending all that waited by turns together, while a verdict on their part settles.
	It("has others with its part wait by turns until a verdict on the part has settled", func() {
		suite.Paused(func() {
			s := scripts{}
			for n := range 12 {
				s[fmt.Sprint("model-", n)] = crashOnPart("dead")
			}
			r := newRig(s)
			defer r.stop()
			r.grantTurns()
			asked := make(chan standin.Response, 16)
			ask := func(ids ...string) {
				for _, id := range ids {
					go func() { asked <- r.ask(request("POST", "/stream/1", id).WithID(id).WithParts("first", "dead", id)) }()
				}
			}
			list := func(from, until int) {
				for n := range 12 {
					r.fleet.Remove(fmt.Sprint("model-", n))
				}
				for n := from; n < until; n++ {
					r.relist(fmt.Sprint("model-", n))
				}
			}
			list(0, 3)
			ask("a")
			<-asked
			list(3, 6)
			ask("b")
			<-asked
			list(0, 0)
			before := r.runs()
			Expect(before).To(BeNumerically(">=", 5), "endpoints crashed under two requests")
			ask("c", "d", "e", "f", "g", "h", "i", "j", "k", "l")
			time.Sleep(500 * time.Millisecond)
			list(6, 12)
			for range 10 {
				Expect((<-asked).Status).NotTo(Equal(http.StatusOK))
			}
			Expect(r.runs()-before).To(BeNumerically("<=", 2), "one had a turn, and may be sent once more")
		})
	})

	It("is released when one of its own responses completes", func() {
		suite.Paused(func() {
			r := newCrashRig()
			defer r.stop()
			slow := standin.Reply{Status: 200, Body: "late", Delay: time.Second}
			r.endpoints["plain-1"].SetScript(standin.Always(slow))
			Expect(r.fleet.Count("plain")).To(Equal(6))
			for _, n := range []string{"2", "3", "4", "5", "6"} {
				r.fleet.Remove("plain-" + n)
			}
			asked := make(chan standin.Response, 1)
			go func() { asked <- r.askWithBody("/once/1", "bad", "slow") }()
			time.Sleep(time.Millisecond)
			r.relist("plain-2", "plain-3", "plain-4", "plain-5")
			r.fleet.Remove("plain-1")
			for _, id := range []string{"a", "b", "c"} {
				r.askWithBody("/once/1", "bad", id)
				time.Sleep(200 * time.Millisecond)
			}
			Expect(r.askWithBody("/once/1", "bad", "d").Status).To(Equal(http.StatusServiceUnavailable))
			Expect((<-asked).Status).To(Equal(http.StatusOK))
			Expect(r.askWithBody("/once/1", "bad", "e").Status).To(Equal(http.StatusBadGateway), "it is sent to an endpoint again")
		})
	})
})
