package gateway_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/standin/memnet"
	"quaybarrow/internal/standin/suite"
	"quaybarrow/platform/standin"
)

// earlyHead ends the head of a response that states no length, of the endpoint that resets the connection.
var earlyHead = standin.IDField("id-1") + standin.SealField("e") + "\r\n"

// Each guards against a part of a body that a caller gets as a whole answer.
var _ = Describe("an upload whose connection is reset while it is written, after a part of an answer without a length", func() {
	bodies := map[string]string{"200 OK": "part of the body", "404 Not Found": "part of the body"}
	upload := strings.Repeat("x", 900)
	for status, body := range bodies {
		answer := "HTTP/1.1 " + status + "\r\n" + earlyHead + body

		It("is answered with 502 if it may run once only: "+status, func() {
			suite.Paused(func() {
				r := newRig(scripts{"plain-1": standin.Always(good)})
				defer r.stop()
				r.next.Store(memnet.NewResetConn(300, answer))
				a := r.ask(request("POST", "/once/1", upload))
				Expect(a.Status).To(Equal(502))
				Expect(a.SealedBy()).To(BeEmpty())
				Expect(r.runs()).To(BeZero())
			})
		})

		It("runs again elsewhere if it may: "+status, func() {
			suite.Paused(func() {
				r := newRig(scripts{"plain-1": standin.Always(good), "plain-2": standin.Always(good)})
				defer r.stop()
				r.next.Store(memnet.NewResetConn(300, answer))
				a := r.ask(request("POST", "/again/1", upload))
				Expect(a.Status).To(Equal(200))
				Expect(a.SealedBy()).To(HavePrefix("plain-"))
				Expect(r.runs()).To(Equal(1))
			})
		})
	}

	It("continues elsewhere if it is a stream, though events were whole", func() {
		suite.Paused(func() {
			r := newRig(scripts{"model-1": standin.Always(confident), "model-2": standin.Always(confident)})
			defer r.stop()
			r.next.Store(memnet.NewResetConn(300, "HTTP/1.1 200 OK\r\n"+standin.ConfidenceField(90)+earlyHead+events(1, 3, "small")))
			q := prompt("/stream/1")
			q.Body = upload
			a := r.ask(q)
			Expect(a.Err).NotTo(HaveOccurred())
			Expect(a.Body).To(Equal(events(1, 5, "small")))
			Expect(r.runs()).To(Equal(1))
		})
	})
})
