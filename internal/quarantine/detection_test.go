package quarantine_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/quarantine"
)

var _ = Describe("an endpoint whose connections broke", func() {
	connectionBroke := func(h *testHosts, endpoint string) bool {
		return h.trackers[0].ConnectionBroke(context.Background(), quarantine.BrokenAttempt{Endpoint: endpoint, Address: endpoint, Service: "s", Request: quarantine.Request{Fingerprint: crashing}, Run: quarantine.Run{Lasted: time.Second}})
	}

	ctx := context.Background()

	It("has crashed if it leaves the endpoint list shortly after and nothing listens at its address", func() {
		withHosts(1, func(h *testHosts) {
			h.listening["e0"] = true // its process has not exited yet
			Expect(connectionBroke(h, "e0")).To(BeFalse())
			Expect(h.trackers[0].HasEvidence()).To(BeFalse())
			time.Sleep(4 * time.Second)
			h.listening["e0"] = false
			h.trackers[0].EndpointGone(ctx, "e0")
			Expect(h.trackers[0].Status(quarantine.Request{Fingerprint: crashing}).Moments).To(Equal(1))
		})
	})

	It("has crashed if another instance is listed at its address shortly after", func() {
		withHosts(1, func(h *testHosts) {
			h.listening["e0"] = true // a new process already listens there
			Expect(connectionBroke(h, "e0")).To(BeFalse())
			h.trackers[0].EndpointListed("e0", "e0")
			h.trackers[0].EndpointListed("e2", "e2")
			Expect(h.trackers[0].HasEvidence()).To(BeFalse())
			time.Sleep(time.Second)
			h.trackers[0].EndpointListed("e1", "e0")
			Expect(h.trackers[0].Status(quarantine.Request{Fingerprint: crashing}).Moments).To(Equal(1))
		})
	})

	for name, first := range map[string]bool{"before": true, "after": false} {
		It("has crashed if another host proves it, "+name+" this host's connection broke", func() {
			withHosts(2, func(h *testHosts) {
				proves := func() { h.crash(1, "e0", harmless) }
				h.listening["e0"] = false
				if first {
					proves()
					time.Sleep(100 * time.Millisecond)
				}
				h.listening["e0"] = true // this host can't tell
				Expect(connectionBroke(h, "e0")).To(Equal(first))
				h.listening["e0"] = false
				if !first {
					proves()
					time.Sleep(200 * time.Millisecond)
				}
				Expect(h.trackers[0].Status(quarantine.Request{Fingerprint: crashing}).Moments).To(Equal(1))
				time.Sleep(time.Second)
				Expect(h.trackers[1].Status(quarantine.Request{Fingerprint: crashing}).Moments).To(Equal(1))
			})
		})
	}

	It("has not crashed under a connection that broke long before another host proves it", func() {
		withHosts(2, func(h *testHosts) {
			h.listening["e0"] = true
			Expect(connectionBroke(h, "e0")).To(BeFalse())
			time.Sleep(time.Second)
			h.listening["e0"] = false
			h.crash(1, "e0", harmless)
			time.Sleep(time.Second)
			Expect(h.trackers[0].Status(quarantine.Request{Fingerprint: crashing}).Moments).To(Equal(0))
		})
	})

	It("has not crashed if it leaves without notice and continues to serve", func() {
		withHosts(1, func(h *testHosts) {
			h.listening["e0"] = true
			Expect(connectionBroke(h, "e0")).To(BeFalse())
			time.Sleep(time.Second)
			h.trackers[0].EndpointGone(ctx, "e0")
			Expect(h.trackers[0].HasEvidence()).To(BeFalse())
		})
	})

	It("has not crashed if it leaves long after, or no connection broke there", func() {
		withHosts(1, func(h *testHosts) {
			h.listening["e0"] = true
			Expect(connectionBroke(h, "e0")).To(BeFalse())
			time.Sleep(10 * time.Second)
			h.listening["e0"] = false
			h.trackers[0].EndpointGone(ctx, "e0")
			h.trackers[0].EndpointGone(ctx, "e1")
			h.trackers[0].EndpointListed("e3", "e0")
			Expect(h.trackers[0].HasEvidence()).To(BeFalse())
		})
	})
})
