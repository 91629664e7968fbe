package gateway_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/standin/suite"
	"quaybarrow/platform/standin"
)

var _ = Describe("a body that does not come before the deadline", func() {
	// Guards against a caller that gets no answer, and waits for the end of its connection for good.
	It("is refused with 408, as the request has not run", func() {
		suite.Paused(func() {
			r := newRig(scripts{"plain-1": standin.Always(good)})
			defer r.stop()
			c := r.call()
			defer func() { _ = c.Close() }()
			text := request("POST", "/once/1", "some body").Text()
			c.send(text[:len(text)-1])
			time.AfterFunc(10*time.Second, func() { _ = c.Close() })
			start := time.Now()
			a := c.read()
			Expect(a.Err).NotTo(HaveOccurred())
			Expect(a.Status).To(Equal(http.StatusRequestTimeout))
			Expect(a.Close).To(BeTrue())
			_, err := c.reader.Peek(1)
			Expect(err).To(HaveOccurred())
			Expect(time.Since(start)).To(BeNumerically("<", 3*time.Second))
			Expect(r.runs()).To(BeZero())
		})
	})
})
