package quarantine_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/quarantine"
)

var _ = Describe("news of a crash that come in parts", func() {
	// A harmless request was refused for 23 ms: it had stood beside the same crashes as a guilty one, and one host's
	// list told of an older crash before another's did.
	It("do not bring a request into quarantine that is beside a guilty one", func() {
		sharing(2, func(h *hosts) {
			broke := func(host int, endpoint string, f quarantine.Fingerprint, lasted time.Duration) {
				Expect(h.books[host].ConnectionBroke(context.Background(), quarantine.BrokenAttempt{
					Endpoint: endpoint, Address: endpoint, Service: "s", Request: f, Run: quarantine.Run{Lasted: lasted},
				})).To(Equal(!h.up[endpoint]))
			}
			h.up["e0"] = true // something listens there again already
			broke(0, "e0", beside, 0)
			broke(1, "e0", guilty, 80*time.Millisecond)
			time.Sleep(apart / 2)
			broke(1, "e1", guilty, 80*time.Millisecond)
			for _, endpoint := range []string{"e2", "e3", "e4"} {
				time.Sleep(apart)
				broke(0, endpoint, beside, 80*time.Millisecond)
				broke(1, endpoint, guilty, 80*time.Millisecond)
			}
			time.Sleep(apart)
			Expect(h.quarantined(guilty)).To(Equal([]bool{true, true}))
			h.books[0].EndpointListed("e5", "e0")
			for range 23 {
				time.Sleep(time.Millisecond)
				Expect(h.quarantined(beside)).To(Equal([]bool{false, false}))
				Expect(h.quarantined(guilty)).To(Equal([]bool{true, true}))
			}
			h.books[1].EndpointListed("e5", "e0")
			for range 1000 {
				time.Sleep(time.Millisecond)
				Expect(h.quarantined(beside)).To(Equal([]bool{false, false}))
				Expect(h.quarantined(guilty)).To(Equal([]bool{true, true}))
			}
		})
	})
})

var _ = Describe("a host that starts", func() {
	It("has requests in quarantine as soon as it knows what others know", func() {
		sharing(2, func(h *hosts) {
			h.thrice(guilty)
			h.kill(1)
			time.Sleep(10 * time.Second)
			h.start(1)
			for !h.books[1].HasEvidence() {
				time.Sleep(time.Millisecond)
			}
			Expect(h.quarantined(guilty)).To(Equal([]bool{true, true}))
		})
	})
})
