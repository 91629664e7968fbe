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

// serveFailingOld reports answers of the old version on each host for a time; one in three fails on
// all of its endpoints but one. It runs body every 100 ms.
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

// recordTargetAnswers reports n answers of the target on a host, on its endpoints in turn. The
// first ones, as many as failing, fail.
func (h *hosts) recordTargetAnswers(host, n, failing int) {
	for i := range n {
		h.trackers[host].Record(upgrade.Report{
			Service: "s", Version: "v2", Endpoint: fmt.Sprint("v2", (host+i)%4), Route: "r", Finding: upgrade.Answered{Failed: i < failing},
		})
	}
}

// stage returns the stage in the upgrade's row.
func (h *hosts) stage() int {
	p, err := codec.Decode[upgrade.Progress](h.store.Value(upgrade.Table, "s"))
	Expect(err).NotTo(HaveOccurred())
	return p.Stage
}

func noop() {}

// newHostsInTrial returns hosts that have seen good answers of a target since its first share,
// beside an old version with failing endpoints.
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

var _ = Describe("a version beside failing endpoints", func() {
	// The last share was written on evidence from a second before it began, and the version was not
	// judged again until the completion.
	It("gets no last share once it fails as they do", func() {
		suite.Paused(func() {
			h := newHostsInTrial()
			defer h.stop()
			for h.stage() < 2 {
				h.serveFailingOld(100*time.Millisecond, noop)
			}
			h.serveFailingOld(200*time.Millisecond, noop) // leaves the rest of the lead for publishing
			Expect(h.targetShare()).To(BeNumerically("<", 0.5), "the last share is written before it begins")
			for i := range h.trackers {
				h.recordTargetAnswers(i, 4, 2)
			}
			h.serveFailingOld(4*time.Second, func() { Expect(h.targetShare()).To(BeNumerically("<", 0.5)) })
			Expect(h.status()).To(MatchJSON(`{"state":"rolled_back","target_version":"v2"}`))
		})
	})

	// MayBeBad was checked only when the next share was due, which may be later than the bound
	// allows.
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

	// The judgement just before the completion had weaker requirements than the one before it.
	It("is not completed if the final judgement shows that it fails as they do", func() {
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
