package quarantine_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/quarantine"
)

var (
	guilty = printOf(1)
	beside = printOf(2)
	all    = []bool{true, true, true}
	none   = []bool{false, false, false}
)

// apart is longer than crashes that count as one, and than it takes to tell.
const apart = time.Second

const (
	// toldWithin is how soon hosts are to know what others have seen, as the users tell.
	toldWithin = 3 * time.Second
	// hears is how often a host of many is told of a crash that many others have seen, at most.
	hears = 8
)

var _ = Describe("hosts that see endpoints crash under a request", func() {
	It("quarantine it all together, however few crashes each has seen", func() {
		sharing(3, func(h *hosts) {
			h.crash(0, "e0", guilty)
			h.crash(1, "e1", guilty)
			time.Sleep(apart)
			h.crash(2, "e2", guilty)
			time.Sleep(apart)
			Expect(h.quarantined(guilty)).To(Equal(none), "two moments")
			h.crash(0, "e3", guilty)
			time.Sleep(apart)
			Expect(h.quarantined(guilty)).To(Equal(all))
			Expect(h.quarantined(beside)).To(Equal(none))
		})
	})

	It("know it a moment after the third crash", func() {
		sharing(3, func(h *hosts) {
			h.thrice(guilty)
			h.letOut(guilty)
			h.crash(0, "e0", guilty)
			time.Sleep(apart)
			h.crash(1, "e1", guilty)
			time.Sleep(apart)
			h.crash(1, "e2", guilty)
			time.Sleep(50 * time.Millisecond)
			Expect(h.quarantined(guilty)).To(Equal(all))
		})
	})

	It("count an endpoint that crashed under several copies once", func() {
		sharing(3, func(h *hosts) {
			for i := range 3 {
				for _, endpoint := range []string{"e0", "e1"} {
					h.crash(i, endpoint, guilty)
				}
				time.Sleep(apart)
			}
			Expect(h.quarantined(guilty)).To(Equal(none))
		})
	})

	It("take endpoints that crash at one moment for one crash", func() {
		sharing(3, func(h *hosts) {
			for i := range 9 {
				h.crash(i%3, fmt.Sprint("e", i), guilty)
			}
			time.Sleep(apart)
			Expect(h.quarantined(guilty)).To(Equal(none))
		})
	})

	It("do not quarantine what came to a good end anywhere in between", func() {
		sharing(3, func(h *hosts) {
			for i := range 6 {
				h.crash(i%3, fmt.Sprint("e", i), guilty)
				time.Sleep(apart)
				if i%2 == 1 {
					h.books[(i+1)%3].RequestCompleted(guilty)
					time.Sleep(apart)
				}
			}
			Expect(h.quarantined(guilty)).To(Equal(none))
		})
	})

	It("let it out when a copy that was under way comes to a good end", func() {
		sharing(3, func(h *hosts) {
			h.thrice(guilty)
			Expect(h.quarantined(guilty)).To(Equal(all))
			h.books[2].RequestCompleted(guilty)
			time.Sleep(apart)
			Expect(h.quarantined(guilty)).To(Equal(none))
		})
	})

	It("clear what goes on elsewhere for longer than endpoints took to crash under it", func() {
		sharing(3, func(h *hosts) {
			ongoing := h.books[1].BeginResponse(func() quarantine.Fingerprint { return beside })
			time.Sleep(apart)
			ongoing.DataArrived(clock.Now())
			h.thrice(beside)
			Expect(h.quarantined(beside)).To(Equal(none))
			h.books[1].EndResponse(ongoing)
			h.thrice(guilty)
			Expect(h.quarantined(guilty)).To(Equal(all))
		})
	})

	// A host that was frozen learns of crashes before it has read that its own connection ended
	// with one of them: by time alone its answer had gone on all along, and it let out, for all
	// hosts, a request that crashes endpoints.
	It("take no answer for one that goes on of which nothing more has come", func() {
		sharing(3, func(h *hosts) {
			ongoing := h.books[1].BeginResponse(func() quarantine.Fingerprint { return guilty })
			ongoing.DataArrived(clock.Now())
			time.Sleep(apart)
			h.thrice(guilty)
			Expect(h.quarantined(guilty)).To(Equal(all))
			h.books[1].EndResponse(ongoing)
		})
	})

	It("leave it to its caller after two crashes, and what was beside one is repeated", func() {
		sharing(3, func(h *hosts) {
			h.crash(0, "e0", guilty, beside)
			Expect(h.books[0].Status(guilty).HostMayRetry(1)).To(BeTrue())
			time.Sleep(apart)
			h.crash(0, "e1", guilty)
			Expect(h.books[0].Status(guilty).HostMayRetry(2)).To(BeFalse())
			Expect(h.books[0].Status(guilty).HostMayRetry(1)).To(BeTrue(), "another copy")
			Expect(h.books[0].Status(beside).HostMayRetry(1)).To(BeTrue())
		})
	})

	It("tell it from what was beside it, once the two part", func() {
		sharing(3, func(h *hosts) {
			for i := range 3 {
				h.crash(i, fmt.Sprint("e", i), guilty, beside)
				time.Sleep(apart)
			}
			Expect(h.quarantined(guilty)).To(Equal(none), "nothing tells the two apart")
			h.crash(0, "e3", guilty)
			time.Sleep(apart)
			Expect(h.quarantined(guilty)).To(Equal(all))
			Expect(h.quarantined(beside)).To(Equal(none))
		})
	})

	It("quarantine neither while others crash as often without it", func() {
		sharing(3, func(h *hosts) {
			for i := range 40 {
				h.crash(i%3, fmt.Sprint("e", i), printOf(uint64(100+i)))
				if i%10 == 0 {
					h.slow(i%3, fmt.Sprint("f", i), guilty)
				}
				time.Sleep(200 * time.Millisecond)
			}
			Expect(h.quarantined(guilty)).To(Equal(none))
		})
	})

	It("let it out by order of an operator at any host", func() {
		sharing(3, func(h *hosts) {
			h.thrice(guilty)
			Expect(h.books[1].Release(beside)).To(BeFalse())
			Expect(h.books[1].Release(guilty)).To(BeTrue())
			time.Sleep(apart)
			Expect(h.quarantined(guilty)).To(Equal(none))
			h.thrice(guilty)
			Expect(h.quarantined(guilty)).To(Equal(all), "it crashes on")
		})
	})

	It("let it out an hour after its last crash, and leave nothing in the store", func() {
		sharing(3, func(h *hosts) {
			h.thrice(guilty)
			time.Sleep(time.Hour - 10*time.Second)
			Expect(h.quarantined(guilty)).To(Equal(all))
			time.Sleep(2 * time.Minute)
			Expect(h.quarantined(guilty)).To(Equal(none))
			Expect(h.kept()).To(BeZero())
		})
	})

	It("leave no rows of hosts that are gone", func() {
		sharing(3, func(h *hosts) {
			h.thrice(guilty)
			time.Sleep(apart)
			Expect(h.kept()).To(Equal(3))
			h.kill(1)
			time.Sleep(2 * time.Hour)
			Expect(h.kept()).To(Equal(1))
			for i := range 3 {
				h.kill(i)
			}
			h.start(0)
			h.start(2)
			time.Sleep(2 * apart)
			Expect(h.kept()).To(BeZero())
		})
	})
})

// letOut takes a request out of quarantine.
func (h *hosts) letOut(f quarantine.Fingerprint) {
	Expect(h.books[0].Release(f)).To(BeTrue())
	time.Sleep(apart)
	Expect(h.quarantined(f)).To(Equal(none))
}

// kept counts the rows in the store.
func (h *hosts) kept() int {
	n := 0
	for i := range h.books {
		if h.store.Value(quarantine.Table, fmt.Sprint("host-", i)) != nil {
			n++
		}
	}
	return n
}

// slow has a request run at an endpoint for long, until that crashes.
func (h *hosts) slow(host int, endpoint string, f quarantine.Fingerprint) {
	h.books[host].ConnectionBroke(context.Background(), quarantine.BrokenAttempt{Endpoint: endpoint, Address: endpoint, Service: "s", Request: f, Run: quarantine.Run{Lasted: 3 * time.Second}})
}
