package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/route"
	"quaybarrow/internal/standin/suite"
	"quaybarrow/platform/standin"
)

// badRequests are refused before anything is sent to an endpoint.
var badRequests = map[string]struct {
	request standin.Request
	status  int
	closed  bool
}{
	"an unknown path": {request("POST", "/nowhere/", "x"), 404, false},
	"an unknown host": {request("POST", "/once/", "x").WithHost("b.example"), 404, false},
	"an unknown key":  {request("POST", "/once/", "x").WithKey("key-2"), 401, false},
	"no key":          {request("POST", "/once/", "x").WithKey(""), 401, false},
	"two keys":        {request("POST", "/once/", "x").With(standin.CredentialLine("key-1")), 401, false},
	"no id":           {request("POST", "/once/", "x").WithID(""), 400, true},
	"a body too long": {request("POST", "/once/", strings.Repeat("x", 1001)), 413, true},
	"a head too long": {request("POST", "/once/", "x").With("X-Long: " + strings.Repeat("y", 5000)), 431, true},
	"two lengths": {request("POST", "/once/", "0\r\n\r\nPOST /once/2 HTTP/1.1\r\nHost: a.example\r\n\r\n").
		With("Transfer-Encoding: chunked"), 400, true},
	"a folded field": {request("POST", "/once/", "x").With("X-Folded: a\r\n b"), 400, true},
}

var _ = Describe("admission of requests", func() {
	for name, c := range badRequests {
		It("refuses "+name, func() {
			suite.Paused(func() {
				r := newRig(scripts{"plain-1": standin.Always(good)})
				defer r.stop()
				caller := r.call()
				defer func() { _ = caller.Close() }()
				caller.send(c.request.Text())
				a := caller.read()
				Expect(a.Status).To(Equal(c.status))
				Expect(r.runs()).To(BeZero())
				if !c.closed {
					caller.send(request("POST", "/once/", "x").Text())
					a = caller.read()
					Expect(a.Status).To(Equal(200))
					return
				}
				_ = caller.SetReadDeadline(time.Now().Add(time.Second))
				_, err := caller.reader.Peek(1)
				Expect(err).To(MatchError(io.EOF))
			})
		})
	}

	It("answers 503 without a configuration", func() {
		suite.Paused(func() {
			r := newRig(nil)
			defer r.stop()
			*r.holder = *route.NewHolder()
			a := r.ask(request("POST", "/once/", "x"))
			Expect(a.Status).To(Equal(http.StatusServiceUnavailable))
		})
	})

	It("forwards the fields that the platform needs, and no forged ones that only the system may set", func() {
		suite.Paused(func() {
			r := newRig(scripts{"plain-1": standin.Always(good)})
			defer r.stop()
			q := request("POST", "/once/a%2Fb?q=1;2", "x").With(standin.ForgedHeaders()...)
			a := r.ask(q.With("X-Own: kept", "X-Hop: gone", "Connection: keep-alive, X-Hop"))
			Expect(a.Status).To(Equal(200))
			seen := r.endpoints["plain-1"].Requests()[0]
			Expect(seen.Method + " " + seen.Target + " " + seen.Body).To(Equal("POST /once/a%2Fb?q=1;2 x"))
			Expect(seen.Workspace()).To(Equal("weavers"))
			Expect(seen.EndpointID()).To(Equal("plain-1"))
			Expect(seen.ID()).To(Equal("id-1"))
			Expect(seen.LeakedHeaders()).To(BeEmpty())
			Expect(seen.Head.Get("X-Own")).To(Equal("kept"))
			Expect(seen.Head).NotTo(HaveKey("X-Hop"))
		})
	})

	It("refuses a chunked body that is too long", func() {
		suite.Paused(func() {
			r := newRig(scripts{"plain-1": standin.Always(good)})
			defer r.stop()
			caller := r.call()
			defer func() { _ = caller.Close() }()
			head := request("GET", "/once/", "").With("Transfer-Encoding: chunked").Text()
			caller.send(head + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", 1001, strings.Repeat("x", 1001)))
			Expect(caller.read().Status).To(Equal(413))
			Expect(r.runs()).To(BeZero())
		})
	})

	It("admits requests on public routes without a key and without a workspace", func() {
		suite.Paused(func() {
			r := newRig(scripts{"plain-1": standin.Always(good)})
			defer r.stop()
			Expect(r.ask(request("POST", "/open/", "x").WithKey("").With(standin.ForgedHeaders()...)).Status).To(Equal(200))
			Expect(r.endpoints["plain-1"].Requests()[0].Workspace()).To(BeEmpty())
		})
	})

	It("tells callers to close connections while it drains", func() {
		suite.Paused(func() {
			r := newRig(scripts{"plain-1": standin.Always(good)})
			defer r.stop()
			r.gateway.Drain()
			ready, _ := r.gateway.Ready()
			Expect(ready).To(BeFalse())
			a := r.ask(request("POST", "/once/", "x"))
			Expect(a.Status).To(Equal(200))
			Expect(a.Close).To(BeTrue())
		})
	})

	It("keeps an idle connection open for as long as operators declare", func() {
		suite.Paused(func() {
			r := newRig(scripts{"plain-1": standin.Always(good)})
			defer r.stop()
			caller := r.call()
			caller.send(request("POST", "/once/", "x").Text())
			Expect(caller.read().Status).To(Equal(200))
			start := time.Now()
			_, err := caller.reader.Peek(1)
			Expect(err).To(HaveOccurred())
			Expect(time.Since(start)).To(Equal(10 * time.Second))
		})
	})
})

var _ = Describe("a gateway that has just started", func() {
	answer := standin.Always(standin.Reply{Status: 200, Body: "done"})

	It("makes requests wait a short time for its configuration", func() {
		suite.Paused(func() {
			r := newRig(scripts{"plain-1": answer})
			defer r.stop()
			table := r.forgetConfig()
			time.AfterFunc(150*time.Millisecond, func() { r.holder.Apply(table) })
			began := time.Now()
			a := r.ask(request("POST", "/once/1", "x"))
			Expect(a.Status).To(Equal(200))
			Expect(time.Since(began)).To(BeNumerically("<", 200*time.Millisecond))
		})
	})

	It("makes requests wait for a configuration that takes a second", func() {
		suite.Paused(func() {
			r := newRig(scripts{"plain-1": answer})
			defer r.stop()
			table := r.forgetConfig()
			time.AfterFunc(time.Second, func() { r.holder.Apply(table) })
			began := time.Now()
			Expect(r.ask(request("POST", "/once/1", "x")).Status).To(Equal(200))
			Expect(time.Since(began)).To(BeNumerically("~", time.Second, 50*time.Millisecond))
		})
	})

	It("tells callers to retry if there is no configuration, first after a short wait and then at once", func() {
		suite.Paused(func() {
			r := newRig(scripts{"plain-1": answer})
			defer r.stop()
			r.forgetConfig()
			for _, most := range []time.Duration{1250 * time.Millisecond, time.Millisecond, time.Millisecond} {
				began := time.Now()
				a := r.ask(request("POST", "/once/1", "x"))
				Expect(a.Status).To(Equal(503))
				Expect(a.Head.Get("Retry-After")).NotTo(BeEmpty())
				Expect(time.Since(began)).To(BeNumerically("<=", most))
			}
			Expect(r.runs()).To(BeZero())
		})
	})
})
