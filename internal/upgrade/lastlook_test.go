package upgrade_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/codec"
	"quaybarrow/internal/standin/suite"
	"quaybarrow/internal/upgrade"
)

// serveFailingOld has each host see answers of the old version for a time, of which one in three fails at all
// of its endpoints but one; each tenth of a second a body runs.
func (h *hosts) serveFailingOld(d time.Duration, body func()) {
	for n := range int(d / (100 * time.Millisecond)) {
		time.Sleep(100 * time.Millisecond)
		for i, t := range h.trackers {
			t.Record(upgrade.Report{
				Service: "s", Version: "v1", Endpoint: fmt.Sprint("v1", n%4), Route: "r", Finding: upgrade.Answered{Failed: n%4 > 0 && (n/4+i)%3 == 0},
			})
		}
		body()
	}
}

// recordTargetAnswers has a host see answers of the recordTargetAnswers, of which the first ones fail, on its endpoints in turn.
func (h *hosts) recordTargetAnswers(host, n, failing int) {
	for i := range n {
		h.trackers[host].Record(upgrade.Report{
			Service: "s", Version: "v2", Endpoint: fmt.Sprint("v2", (host+i)%4), Route: "r", Finding: upgrade.Answered{Failed: i < failing},
		})
	}
}

// stage is the one that is written in the upgrade's row.
func (h *hosts) stage() int {
	p, err := codec.Decode[upgrade.Progress](h.store.Value(upgrade.Table, "s"))
	Expect(err).NotTo(HaveOccurred())
	return p.Stage
}

// noop is nothing to do meanwhile.
func noop() {}

// newHostsInTrial returns hosts that have seen good answers of a target since its first share, beside an old version
// whose endpoints fail.
func newHostsInTrial() *hosts {
	const within = 24 * time.Second // of an order
	h := newHosts(4)
	h.order(7)
	h.serveFailingOld(within/2+time.Second, noop)
	for i := range h.trackers {
		h.recordTargetAnswers(i, 2, 0)
	}
	return h
}

var _ = Describe("a version beside endpoints that fail", func() {
	// The last share was written on what was known a second before it began, and nothing looked again until the completion.
	It("gets no last share once it fails as they do", func() {
		suite.Paused(func() {
			h := newHostsInTrial()
			defer h.stop()
			for h.stage() < 2 {
				h.serveFailingOld(100*time.Millisecond, noop)
			}
			h.serveFailingOld(200*time.Millisecond, noop) // the rest of the lead is time to tell
			Expect(h.targetShare()).To(BeNumerically("<", 0.5), "the last share is written ahead")
			for i := range h.trackers {
				h.recordTargetAnswers(i, 4, 2)
			}
			h.serveFailingOld(4*time.Second, func() { Expect(h.targetShare()).To(BeNumerically("<", 0.5)) })
			Expect(h.status()).To(MatchJSON(`{"state":"rolled_back","target_version":"v2"}`))
		})
	})

	// Its failures were weighed only as the next share was due, which may be later than the bound.
	It("gets nothing more within the bound after many failures that may be its own", func() {
		suite.Paused(func() {
			h := newHostsInTrial()
			defer h.stop()
			for i := range h.trackers {
				h.recordTargetAnswers(i, 40, 14)
			}
			h.serveFailingOld(2*time.Second, noop)
			Expect(h.targetShare()).To(BeNumerically(">", 0), "it is on trial")
			h.serveFailingOld(maxReaction-2*time.Second, noop)
			Expect(h.targetShare()).To(BeZero())
			Expect(h.status()).To(MatchJSON(`{"state":"rolled_back","target_version":"v2"}`))
		})
	})

	// The completion took a last look at what hosts had told, and asked less of it than the look before.
	It("does not come into force if a last look shows that it fails as they do", func() {
		suite.Paused(func() {
			h := newHostsInTrial()
			defer h.stop()
			for h.targetShare() < 0.9 {
				h.serveFailingOld(100*time.Millisecond, noop)
			}
			for _, w := range h.watches {
				w.stalled.Store(true)
			}
			for i := range h.trackers {
				h.recordTargetAnswers(i, 5, 2)
			}
			h.serveFailingOld(3*time.Second, func() { Expect(h.status()).NotTo(MatchJSON(completed)) })
		})
	})
})
