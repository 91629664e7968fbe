package quarantine_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/quarantine"
)

var _ = Describe("news of a crash that come in parts", func() {
	// Guards against the refusal of a harmless request, once for 23 ms: it had run at the same
	// crashes as a request that crashes endpoints, and one host's endpoint list showed an older
	// crash before another host's list did.
	It("do not put a harmless request into quarantine that ran beside one that crashes endpoints", func() {
		withHosts(2, func(h *testHosts) {
			connectionBroke := func(host int, endpoint string, f quarantine.Fingerprint, lasted time.Duration) {
				Expect(h.trackers[host].ConnectionBroke(context.Background(), quarantine.BrokenAttempt{
					Endpoint: endpoint, Address: endpoint, Service: "s", Request: quarantine.Request{Fingerprint: f}, Run: quarantine.Run{Lasted: lasted},
				})).To(Equal(!h.listening[endpoint]))
			}
			h.listening["e0"] = true // a new process already listens there
			connectionBroke(0, "e0", harmless, 0)
			connectionBroke(1, "e0", crashing, 80*time.Millisecond)
			time.Sleep(crashSpacing / 2)
			connectionBroke(1, "e1", crashing, 80*time.Millisecond)
			for _, endpoint := range []string{"e2", "e3", "e4"} {
				time.Sleep(crashSpacing)
				connectionBroke(0, endpoint, harmless, 80*time.Millisecond)
				connectionBroke(1, endpoint, crashing, 80*time.Millisecond)
			}
			time.Sleep(crashSpacing)
			Expect(h.quarantined(crashing)).To(Equal([]bool{true, true}))
			h.trackers[0].EndpointListed("e5", "e0")
			for range 23 {
				time.Sleep(time.Millisecond)
				Expect(h.quarantined(harmless)).To(Equal([]bool{false, false}))
				Expect(h.quarantined(crashing)).To(Equal([]bool{true, true}))
			}
			h.trackers[1].EndpointListed("e5", "e0")
			for range 1000 {
				time.Sleep(time.Millisecond)
				Expect(h.quarantined(harmless)).To(Equal([]bool{false, false}))
				Expect(h.quarantined(crashing)).To(Equal([]bool{true, true}))
			}
		})
	})
})

var _ = Describe("a host that starts", func() {
	It("has requests in quarantine as soon as it knows what others know", func() {
		withHosts(2, func(h *testHosts) {
			h.crashThrice(crashing)
			h.kill(1)
			time.Sleep(10 * time.Second)
			h.start(1)
			for !h.trackers[1].HasEvidence() {
				time.Sleep(time.Millisecond)
			}
			Expect(h.quarantined(crashing)).To(Equal([]bool{true, true}))
		})
	})
})
