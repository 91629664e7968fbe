package gateway_test

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/conn"
	"quaybarrow/internal/standin/suite"
	"quaybarrow/platform"
	"quaybarrow/platform/standin"
)

// invalidReplies are responses whose heads HTTP does not allow.
var invalidReplies = map[string]standin.Reply{
	"status 000":                {Status: 0, Body: "other"},
	"status 600":                {Status: 600, Body: "other"},
	"a blank in a name":         {Status: 200, Body: "other", Field: "X Odd: 1"},
	"a blank after a length":    {Status: 200, Body: "other and more", Field: "Content-Length : 5", Unsized: true},
	"a blank after an encoding": {Status: 200, Body: "5\r\nother\r\n0\r\n\r\n", Field: "Transfer-Encoding : chunked", Unsized: true},
	"a control byte in a name":  {Status: 200, Body: "other", Field: "X\x01Odd: 1"},
}

// Each guards against a caller who gets what is no answer in HTTP, or no answer at all.
var _ = Describe("a response whose head HTTP does not allow", func() {
	for name, invalid := range invalidReplies {
		It("is a failure of its endpoint, and the request runs elsewhere if it may: "+name, func() {
			suite.Paused(func() {
				both := between(invalid, good)
				r := newRig(scripts{"plain-1": both, "plain-2": both})
				defer r.stop()
				a := r.ask(request("POST", "/again/1", "x"))
				Expect(a.Status).To(Equal(200))
				Expect(a.Body).To(Equal("done"))
				Expect(r.runs()).To(Equal(2))
			})
		})

		It("is answered with 502 if the request may run once only: "+name, func() {
			suite.Paused(func() {
				r := newRig(scripts{"plain-1": standin.Always(invalid), "plain-2": standin.Always(good)})
				defer r.stop()
				r.fleet.Remove("plain-2")
				a := r.ask(request("POST", "/once/1", "x"))
				Expect(a.Err).NotTo(HaveOccurred())
				Expect(a.Status).To(Equal(502))
				Expect(a.SealedBy()).To(BeEmpty())
				Expect(a.Body).NotTo(ContainSubstring("other"))
				Expect(r.runs()).To(Equal(1))
			})
		})
	}

	It("is not taken for a stream", func() {
		suite.Paused(func() {
			both := between(standin.Reply{Status: 0, Body: events(1, 2, "small")}, confident)
			r := newRig(scripts{"model-1": both, "model-2": both})
			defer r.stop()
			a := r.ask(prompt("/stream/1"))
			Expect(a.Err).NotTo(HaveOccurred())
			Expect(a.Body).To(Equal(events(1, 5, "small")))
		})
	})
})

// panickingCodec panics as it derives the header of a caller's response.
type panickingCodec struct{ platform.HeaderCodec }

// CallerHeader implements gateway.Codec.
func (panickingCodec) CallerHeader(http.Header) http.Header { panic("no header") }

var _ = Describe("a handler that panics", func() {
	// Guards against a panic that nobody learns of and that keeps its endpoint's place for good.
	It("is logged with its request, and releases the endpoint", func() {
		suite.Paused(func() {
			r := newRig(scripts{"plain-1": standin.Always(standin.Stream{}), "model-1": standin.Always(confident)})
			defer r.stop()
			r.gateway.Codec = panickingCodec{}
			a := r.ask(prompt("/stream/1"))
			Expect(conn.IsDisconnect(a.Err)).To(BeTrue())
			Expect(r.log.text()).To(ContainSubstring("handler of a request panicked"))
			Expect(r.log.text()).To(ContainSubstring(`outcome="internal error"`))
			Expect(r.fleet.InFlight("model-1")).To(BeZero())
			Expect(r.gateway.InFlight()).To(BeZero())
		})
	})
})
