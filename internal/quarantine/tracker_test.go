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
	crashing  = fingerprintOf(1)
	harmless  = fingerprintOf(2)
	everyHost = []bool{true, true, true}
	noHost    = []bool{false, false, false}
)

// crashSpacing is longer than crashes that count as one, and than it takes to tell.
const crashSpacing = time.Second

const (
	// maxPropagation is how soon hosts are to know what others have seen, as the users tell.
	maxPropagation = 3 * time.Second
	// maxReportsPerHost is how often a host of many is told of a crash that many others have seen, at most.
	maxReportsPerHost = 8
)

var _ = Describe("hosts that see endpoints crash under a request", func() {
	It("quarantine it all together, however few crashes each has seen", func() {
		withHosts(3, func(h *testHosts) {
			h.crash(0, "e0", crashing)
			h.crash(1, "e1", crashing)
			time.Sleep(crashSpacing)
			h.crash(2, "e2", crashing)
			time.Sleep(crashSpacing)
			Expect(h.quarantined(crashing)).To(Equal(noHost), "two moments")
			h.crash(0, "e3", crashing)
			time.Sleep(crashSpacing)
			Expect(h.quarantined(crashing)).To(Equal(everyHost))
			Expect(h.quarantined(harmless)).To(Equal(noHost))
		})
	})

	It("know it a moment after the third crash", func() {
		withHosts(3, func(h *testHosts) {
			h.crashThrice(crashing)
			h.release(crashing)
			h.crash(0, "e0", crashing)
			time.Sleep(crashSpacing)
			h.crash(1, "e1", crashing)
			time.Sleep(crashSpacing)
			h.crash(1, "e2", crashing)
			time.Sleep(50 * time.Millisecond)
			Expect(h.quarantined(crashing)).To(Equal(everyHost))
		})
	})

	It("count an endpoint that crashed under several copies once", func() {
		withHosts(3, func(h *testHosts) {
			for i := range 3 {
				for _, endpoint := range []string{"e0", "e1"} {
					h.crash(i, endpoint, crashing)
				}
				time.Sleep(crashSpacing)
			}
			Expect(h.quarantined(crashing)).To(Equal(noHost))
		})
	})

	It("take endpoints that crash at one moment for one crash", func() {
		withHosts(3, func(h *testHosts) {
			for i := range 9 {
				h.crash(i%3, fmt.Sprint("e", i), crashing)
			}
			time.Sleep(crashSpacing)
			Expect(h.quarantined(crashing)).To(Equal(noHost))
		})
	})

	It("do not quarantine what came to a good end anywhere in between", func() {
		withHosts(3, func(h *testHosts) {
			for i := range 6 {
				h.crash(i%3, fmt.Sprint("e", i), crashing)
				time.Sleep(crashSpacing)
				if i%2 == 1 {
					h.trackers[(i+1)%3].RequestCompleted(crashing)
					time.Sleep(crashSpacing)
				}
			}
			Expect(h.quarantined(crashing)).To(Equal(noHost))
		})
	})

	It("let it out when a copy that was under way comes to a good end", func() {
		withHosts(3, func(h *testHosts) {
			h.crashThrice(crashing)
			Expect(h.quarantined(crashing)).To(Equal(everyHost))
			h.trackers[2].RequestCompleted(crashing)
			time.Sleep(crashSpacing)
			Expect(h.quarantined(crashing)).To(Equal(noHost))
		})
	})

	It("clear what goes on elsewhere for longer than endpoints took to crash under it", func() {
		withHosts(3, func(h *testHosts) {
			ongoing := h.trackers[1].BeginResponse(func() quarantine.Fingerprint { return harmless })
			time.Sleep(crashSpacing)
			ongoing.DataArrived(clock.Now())
			h.crashThrice(harmless)
			Expect(h.quarantined(harmless)).To(Equal(noHost))
			h.trackers[1].EndResponse(ongoing)
			h.crashThrice(crashing)
			Expect(h.quarantined(crashing)).To(Equal(everyHost))
		})
	})

	// A host that was frozen learns of crashes before it has read that its own connection ended
	// with one of them: by time alone its answer had gone on all along, and it let out, for all
	// hosts, a request that crashes endpoints.
	It("take no answer for one that goes on of which nothing more has come", func() {
		withHosts(3, func(h *testHosts) {
			ongoing := h.trackers[1].BeginResponse(func() quarantine.Fingerprint { return crashing })
			ongoing.DataArrived(clock.Now())
			time.Sleep(crashSpacing)
			h.crashThrice(crashing)
			Expect(h.quarantined(crashing)).To(Equal(everyHost))
			h.trackers[1].EndResponse(ongoing)
		})
	})

	It("leave it to its caller after two crashes, and what was beside one is repeated", func() {
		withHosts(3, func(h *testHosts) {
			h.crash(0, "e0", crashing, harmless)
			Expect(h.trackers[0].Status(crashing).HostMayRetry(1)).To(BeTrue())
			time.Sleep(crashSpacing)
			h.crash(0, "e1", crashing)
			Expect(h.trackers[0].Status(crashing).HostMayRetry(2)).To(BeFalse())
			Expect(h.trackers[0].Status(crashing).HostMayRetry(1)).To(BeTrue(), "another copy")
			Expect(h.trackers[0].Status(harmless).HostMayRetry(1)).To(BeTrue())
		})
	})

	It("tell it from what was beside it, once the two part", func() {
		withHosts(3, func(h *testHosts) {
			for i := range 3 {
				h.crash(i, fmt.Sprint("e", i), crashing, harmless)
				time.Sleep(crashSpacing)
			}
			Expect(h.quarantined(crashing)).To(Equal(noHost), "nothing tells the two apart")
			h.crash(0, "e3", crashing)
			time.Sleep(crashSpacing)
			Expect(h.quarantined(crashing)).To(Equal(everyHost))
			Expect(h.quarantined(harmless)).To(Equal(noHost))
		})
	})

	It("quarantine neither while others crash as often without it", func() {
		withHosts(3, func(h *testHosts) {
			for i := range 40 {
				h.crash(i%3, fmt.Sprint("e", i), fingerprintOf(uint64(100+i)))
				if i%10 == 0 {
					h.crashAfterLongRun(i%3, fmt.Sprint("f", i), crashing)
				}
				time.Sleep(200 * time.Millisecond)
			}
			Expect(h.quarantined(crashing)).To(Equal(noHost))
		})
	})

	It("let it out by order of an operator at any host", func() {
		withHosts(3, func(h *testHosts) {
			h.crashThrice(crashing)
			Expect(h.trackers[1].Release(harmless)).To(BeFalse())
			Expect(h.trackers[1].Release(crashing)).To(BeTrue())
			time.Sleep(crashSpacing)
			Expect(h.quarantined(crashing)).To(Equal(noHost))
			h.crashThrice(crashing)
			Expect(h.quarantined(crashing)).To(Equal(everyHost), "it crashes on")
		})
	})

	It("let it out an hour after its last crash, and leave nothing in the store", func() {
		withHosts(3, func(h *testHosts) {
			h.crashThrice(crashing)
			time.Sleep(time.Hour - 10*time.Second)
			Expect(h.quarantined(crashing)).To(Equal(everyHost))
			time.Sleep(2 * time.Minute)
			Expect(h.quarantined(crashing)).To(Equal(noHost))
			Expect(h.storedRows()).To(BeZero())
		})
	})

	It("leave no rows of hosts that are gone", func() {
		withHosts(3, func(h *testHosts) {
			h.crashThrice(crashing)
			time.Sleep(crashSpacing)
			Expect(h.storedRows()).To(Equal(3))
			h.kill(1)
			time.Sleep(2 * time.Hour)
			Expect(h.storedRows()).To(Equal(1))
			for i := range 3 {
				h.kill(i)
			}
			h.start(0)
			h.start(2)
			time.Sleep(2 * crashSpacing)
			Expect(h.storedRows()).To(BeZero())
		})
	})
})

// release takes a request out of quarantine.
func (h *testHosts) release(f quarantine.Fingerprint) {
	Expect(h.trackers[0].Release(f)).To(BeTrue())
	time.Sleep(crashSpacing)
	Expect(h.quarantined(f)).To(Equal(noHost))
}

// storedRows counts the rows in the store.
func (h *testHosts) storedRows() int {
	n := 0
	for i := range h.trackers {
		if h.store.Value(quarantine.Table, fmt.Sprint("host-", i)) != nil {
			n++
		}
	}
	return n
}

// crashAfterLongRun has a request run at an endpoint for long, until that crashes.
func (h *testHosts) crashAfterLongRun(host int, endpoint string, f quarantine.Fingerprint) {
	h.trackers[host].ConnectionBroke(context.Background(), quarantine.BrokenAttempt{Endpoint: endpoint, Address: endpoint, Service: "s", Request: f, Run: quarantine.Run{Lasted: 3 * time.Second}})
}
