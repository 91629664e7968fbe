package gatewayd_test

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/standin/suite"
	"quaybarrow/platform/standin"
)

var _ = Describe("hosts after a suspension of their machine", func() {
	It("answer expired requests as soon as they resume, and log the suspension", func() {
		suite.Paused(func() {
			r := newCrashRig(crashScenario{})
			defer r.stop()
			c, err := r.net.Dial(context.Background(), "tcp", r.hosts[0].address(80))
			Expect(err).NotTo(HaveOccurred())
			defer func() { _ = c.Close() }()
			q := standin.NewRequest(http.MethodPost, "/once/x", unansweredBody).With("X-Body: " + unansweredBody)
			q.DeadlineMs = 5000
			go func() { _, _ = io.WriteString(c, q.Text()) }()
			time.Sleep(time.Second)
			began := time.Now()
			clock.SimulateSuspension(6 * time.Second)
			a := standin.ReadResponse(bufio.NewReader(c))
			Expect(a.Err).NotTo(HaveOccurred())
			Expect(a.Status).To(Equal(http.StatusGatewayTimeout))
			Expect(time.Since(began)).To(BeNumerically("<", 500*time.Millisecond))
			Expect(r.log.text()).To(ContainSubstring(`"machine was suspended"`))
			Expect(r.send(context.Background(), 0, "/once/x", "afterwards")).To(Equal(http.StatusOK))
		})
	})
})
