package upgrade_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/standin/suite"
)

const (
	underWay  = `{"state":"running","target_version":"v2"}`
	completed = `{"state":"completed","target_version":"v2"}`
)

var _ = Describe("the completion of an upgrade", func() {
	It("waits for failures that another host has just published, though this host has not received them", func() {
		suite.Paused(func() {
			h := newHosts(2)
			defer h.stop()
			h.order(7)
			h.serve(22*time.Second, traffic{})
			h.watches[0].stalled.Store(true)
			time.Sleep(300 * time.Millisecond)
			h.recordAnswers(1, 3, 2)
			h.recordAnswers(0, 1, 0)
			time.Sleep(700 * time.Millisecond)
			Expect(h.status()).To(MatchJSON(underWay))
		})
	})

	It("sees each failure in the last stage published at once", func() {
		suite.Paused(func() {
			h := newHosts(2)
			defer h.stop()
			h.order(7)
			h.serve(22*time.Second, traffic{})
			h.recordAnswers(1, 3, 3)
			time.Sleep(300 * time.Millisecond)
			Expect(h.publishedBy("host-1").Bad).To(Equal(3))
		})
	})

	It("does not wait for old failures without new evidence", func() {
		suite.Paused(func() {
			h := newHosts(2)
			defer h.stop()
			h.order(7)
			h.serve(22*time.Second, traffic{})
			h.recordAnswers(1, 3, 2)
			h.trackers = h.trackers[:1]
			h.serve(3500*time.Millisecond, traffic{})
			Expect(h.status()).To(MatchJSON(completed))
		})
	})

	It("needs an answer given since all keys go to the target", func() {
		suite.Paused(func() {
			h := newHosts(6)
			defer h.stop()
			h.order(7)
			h.serve(21500*time.Millisecond, traffic{})
			time.Sleep(3 * time.Second)
			Expect(h.status()).To(MatchJSON(underWay))
			h.serve(time.Second, traffic{})
			Expect(h.status()).To(MatchJSON(completed))
		})
	})
})
