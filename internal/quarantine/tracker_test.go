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

// crashSpacing is longer than the time within which crashes count as one, and than an update takes.
const crashSpacing = time.Second

const (
	// maxPropagation is how soon hosts must know what others have seen, by the user requirements.
	maxPropagation = 3 * time.Second
	// maxReportsPerHost is how often each of many hosts is told, at most, of a crash that many
	// others have seen.
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

	It("know it shortly after the third crash", func() {
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

	It("count endpoints that crash at the same moment as one crash", func() {
		withHosts(3, func(h *testHosts) {
			for i := range 9 {
				h.crash(i%3, fmt.Sprint("e", i), crashing)
			}
			time.Sleep(crashSpacing)
			Expect(h.quarantined(crashing)).To(Equal(noHost))
		})
	})

	It("do not quarantine a request that completed anywhere in between", func() {
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

	It("release it when an ongoing copy completes", func() {
		withHosts(3, func(h *testHosts) {
			h.crashThrice(crashing)
			Expect(h.quarantined(crashing)).To(Equal(everyHost))
			h.trackers[2].RequestCompleted(crashing)
			time.Sleep(crashSpacing)
			Expect(h.quarantined(crashing)).To(Equal(noHost))
		})
	})

	It("clear a request whose response is still arriving elsewhere after longer than endpoints took to crash", func() {
		withHosts(3, func(h *testHosts) {
			ongoing := h.trackers[1].BeginResponse("", func() quarantine.Request { return quarantine.Request{Fingerprint: harmless} }, nil)
			time.Sleep(crashSpacing)
			ongoing.DataArrived(clock.Now())
			h.crashThrice(harmless)
			Expect(h.quarantined(harmless)).To(Equal(noHost))
			h.trackers[1].EndResponse(ongoing, false)
			h.crashThrice(crashing)
			Expect(h.quarantined(crashing)).To(Equal(everyHost))
		})
	})

	// Guards against a host that was frozen and learns of crashes before it has read that its own
	// connection ended with one of them: judged by the clock alone, its response had been arriving
	// all along, and the host released, for all hosts, a request that crashes endpoints.
	It("do not count a response as ongoing if no more of it has arrived", func() {
		withHosts(3, func(h *testHosts) {
			ongoing := h.trackers[1].BeginResponse("", func() quarantine.Request { return quarantine.Request{Fingerprint: crashing} }, nil)
			ongoing.DataArrived(clock.Now())
			time.Sleep(crashSpacing)
			h.crashThrice(crashing)
			Expect(h.quarantined(crashing)).To(Equal(everyHost))
			h.trackers[1].EndResponse(ongoing, false)
		})
	})

	It("leave retries to its caller after two crashes, and retry a request that was at one of them", func() {
		withHosts(3, func(h *testHosts) {
			h.crash(0, "e0", crashing, harmless)
			Expect(h.trackers[0].Status(quarantine.Request{Fingerprint: crashing}).HostMayRetry(1)).To(BeTrue())
			time.Sleep(crashSpacing)
			h.crash(0, "e1", crashing)
			Expect(h.trackers[0].Status(quarantine.Request{Fingerprint: crashing}).HostMayRetry(2)).To(BeFalse())
			Expect(h.trackers[0].Status(quarantine.Request{Fingerprint: crashing}).HostMayRetry(1)).To(BeTrue(), "another copy")
			Expect(h.trackers[0].Status(quarantine.Request{Fingerprint: harmless}).HostMayRetry(1)).To(BeTrue())
		})
	})

	It("tell it from a request beside it, once their crashes differ", func() {
		withHosts(3, func(h *testHosts) {
			for i := range 3 {
				h.crash(i, fmt.Sprint("e", i), crashing, harmless)
				time.Sleep(crashSpacing)
			}
			Expect(h.quarantined(crashing)).To(Equal(noHost), "the two have the same crashes")
			h.crash(0, "e3", crashing)
			time.Sleep(crashSpacing)
			Expect(h.quarantined(crashing)).To(Equal(everyHost))
			Expect(h.quarantined(harmless)).To(Equal(noHost))
		})
	})

	It("do not quarantine it while other endpoints crash as often without it", func() {
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

	It("release it by order of an operator at any host", func() {
		withHosts(3, func(h *testHosts) {
			h.crashThrice(crashing)
			Expect(h.trackers[1].Release(harmless)).To(BeFalse())
			Expect(h.trackers[1].Release(crashing)).To(BeTrue())
			time.Sleep(crashSpacing)
			Expect(h.quarantined(crashing)).To(Equal(noHost))
			h.crashThrice(crashing)
			Expect(h.quarantined(crashing)).To(Equal(everyHost), "it continues to crash endpoints")
		})
	})

	It("release it an hour after its last crash, and leave nothing in the store", func() {
		withHosts(3, func(h *testHosts) {
			h.crashThrice(crashing)
			time.Sleep(time.Hour - 10*time.Second)
			Expect(h.quarantined(crashing)).To(Equal(everyHost))
			time.Sleep(2 * time.Minute)
			Expect(h.quarantined(crashing)).To(Equal(noHost))
			Expect(h.storedRows()).To(BeZero())
		})
	})

	It("leave no rows of hosts that are gone in the store", func() {
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

// storedRows returns the number of rows in the store.
func (h *testHosts) storedRows() int {
	n := 0
	for i := range h.trackers {
		if h.store.Value(quarantine.Table, fmt.Sprint("host-", i)) != nil {
			n++
		}
	}
	return n
}

// crashAfterLongRun reports an endpoint's crash under a request that had run there for long.
func (h *testHosts) crashAfterLongRun(host int, endpoint string, f quarantine.Fingerprint) {
	h.trackers[host].ConnectionBroke(context.Background(), quarantine.BrokenAttempt{Endpoint: endpoint, Address: endpoint, Service: "s", Request: quarantine.Request{Fingerprint: f}, Run: quarantine.Run{Lasted: 3 * time.Second}})
}
