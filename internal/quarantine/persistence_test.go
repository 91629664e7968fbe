package quarantine_test

import (
	"context"
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/quarantine"
	"quaybarrow/platform/standin"
)

// storeFaults are ways in which the store is unavailable.
var storeFaults = map[string]standin.Fault{
	"is silent": standin.Silent, "is busy": standin.Busy, "loses the answers to writes": standin.DropCommitReplies, "limits calls": standin.Limited,
}

var _ = Describe("what hosts have seen of crashes", func() {
	It("survives the restart of each of them, and of all at once", func() {
		withHosts(3, func(h *testHosts) {
			h.crash(0, "e0", crashing)
			time.Sleep(crashSpacing)
			h.crash(0, "e1", crashing)
			time.Sleep(crashSpacing)
			h.restartAll()
			h.crash(1, "e2", crashing)
			time.Sleep(crashSpacing)
			Expect(h.quarantined(crashing)).To(Equal(everyHost))
			h.restartAll()
			Expect(h.quarantined(crashing)).To(Equal(everyHost))
			h.kill(2)
			h.start(2)
			time.Sleep(crashSpacing)
			Expect(h.quarantined(crashing)).To(Equal(everyHost))
		})
	})

	for name, away := range map[string]bool{"": false, ", while the store is unavailable": true} {
		It("survives the restart of a host that sees a crash before it has loaded what it sent before"+name, func() {
			withHosts(3, func(h *testHosts) {
				for i := range 3 {
					h.crash(0, fmt.Sprint("e", i), crashing)
					time.Sleep(crashSpacing)
				}
				Expect(h.quarantined(crashing)).To(Equal(everyHost))
				if away {
					h.store.SetFault(standin.Silent)
				}
				h.kill(0)
				h.start(0)
				h.crash(0, "e9", harmless)
				for range 50 {
					time.Sleep(100 * time.Millisecond)
					Expect(h.quarantined(crashing)[1:]).To(Equal(everyHost[1:]), "at the other hosts")
				}
				Expect(h.quarantined(crashing)).To(Equal(everyHost))
				h.store.SetFault(standin.Healthy)
			})
		})
	}

	It("is known again within a tenth of a second of the start of all hosts at once", func() {
		withHosts(3, func(h *testHosts) {
			h.crashThrice(crashing)
			time.Sleep(3 * time.Second)
			for i := range h.trackers {
				h.kill(i)
			}
			for i := range h.trackers {
				h.start(i)
			}
			time.Sleep(100 * time.Millisecond)
			Expect(h.quarantined(crashing)).To(Equal(everyHost))
		})
	})

	It("does not come back after a restart once it was cleared", func() {
		withHosts(3, func(h *testHosts) {
			h.crashThrice(crashing)
			h.release(crashing)
			time.Sleep(3 * time.Second)
			h.restartAll()
			Expect(h.quarantined(crashing)).To(Equal(noHost))
		})
	})

	for name, fault := range storeFaults {
		It("is known to all while the store "+name+", and stored once it is back", func() {
			withHosts(3, func(h *testHosts) {
				h.store.SetFault(fault)
				h.crashThrice(crashing)
				Expect(h.quarantined(crashing)).To(Equal(everyHost))
				h.store.SetFault(standin.Healthy)
				time.Sleep(3 * time.Second)
				h.restartAll()
				Expect(h.quarantined(crashing)).To(Equal(everyHost))
			})
		})
	}

	It("is the newest in the store even if an older write is executed late", func() {
		withHosts(1, func(h *testHosts) {
			h.store.SetFault(standin.Silent)
			h.crash(0, "e0", crashing)
			time.Sleep(crashSpacing)
			h.crash(0, "e1", crashing)
			time.Sleep(3 * time.Second)
			old := []byte(`{"version":1,"row":{}}`)
			h.store.SetFault(standin.Healthy)
			time.Sleep(2 * time.Second)
			h.store.Put(quarantine.Table, "host-0", old)
			time.Sleep(10 * time.Second)
			Expect(h.store.Value(quarantine.Table, "host-0")).NotTo(Equal(old))
		})
	})

	It("reaches hosts that were partitioned or skipped within three seconds of their return", func() {
		withHosts(3, func(h *testHosts) {
			h.setPartitioned(2, true)
			h.crashThrice(crashing)
			h.crash(1, "f", crashing)
			time.Sleep(crashSpacing)
			Expect(h.quarantined(crashing)).To(Equal([]bool{true, true, false}))
			h.setPartitioned(2, false)
			time.Sleep(3 * time.Second)
			Expect(h.quarantined(crashing)).To(Equal(everyHost))
		})
	})

	It("reaches 60 hosts at once, though some of them do not answer", func() {
		withHosts(60, func(h *testHosts) {
			for i := range 9 {
				h.setPartitioned(10+i*5, true)
			}
			before := h.callCount()
			h.crashThrice(crashing)
			Expect(h.callCount()-before).To(BeNumerically("<", 3*60+60*3*2), "the reports, and 60 hosts that compare their rows for three seconds")
			for i, quarantined := range h.quarantined(crashing) {
				Expect(quarantined).To(Equal(!h.isPartitioned(i)), "host %d", i)
			}
		})
	})

	// When a seventh of thousands of endpoints crash, hundreds of hosts have had requests there. All
	// hosts must still know a request that crashes endpoints within three seconds.
	It("is sent with messages that grow no faster than the number of hosts, however many have seen it", func() {
		const count, observers = 400, 200
		withHosts(count, func(h *testHosts) {
			time.Sleep(2 * time.Second)
			before := h.callCount()
			for i := range 3 {
				for j := range observers {
					h.crash((2*j+i)%count, fmt.Sprint("e", i), crashing, fingerprintOf(uint64(1000*i+j+10)))
				}
				time.Sleep(crashSpacing)
			}
			sent := h.callCount() - before
			time.Sleep(maxPropagation - crashSpacing)
			for i, held := range h.quarantined(crashing) {
				Expect(held).To(BeTrue(), "host %d", i)
			}
			// For each crash, each host receives several reports of it, and each observer sends one;
			// besides, each host periodically compares its rows with another one.
			Expect(sent).To(BeNumerically("<", 3*(observers+maxReportsPerHost*count)+2*count*2))
		})
	})

	It("is skipped where it can't be decoded", func() {
		withHosts(3, func(h *testHosts) {
			h.crashThrice(crashing)
			h.store.Put(quarantine.Table, "host-9", []byte(`{"row":7}`))
			_, err := h.trackers[0].HandleUpdate(context.Background(), quarantine.Update{Rows: []quarantine.Row{{Host: "host-8", Version: 9, Value: []byte("{")}}})
			Expect(err).NotTo(HaveOccurred())
			h.restartAll()
			Expect(h.quarantined(crashing)).To(Equal(everyHost))
			Expect(h.log.contents()).To(ContainSubstring("can't be read"))
		})
	})

	It("is bounded, and requests in quarantine stay there", func() {
		withHosts(3, func(h *testHosts) {
			h.crashThrice(crashing)
			for i := range 300 {
				h.crash(0, fmt.Sprint("x", i), fingerprintOf(uint64(1000+i)))
				time.Sleep(300 * time.Millisecond)
			}
			time.Sleep(crashSpacing)
			Expect(h.quarantined(crashing)).To(Equal(everyHost))
			Expect(len(h.store.Value(quarantine.Table, "host-0"))).To(BeNumerically("<", 30_000))
		})
	})

	It("causes no write while nothing crashes, or if all requests that ran there complete elsewhere", func() {
		withHosts(3, func(h *testHosts) {
			time.Sleep(time.Minute)
			h.crash(0, "e0", crashing, harmless)
			h.crash(1, "e0", fingerprintOf(3))
			time.Sleep(crashSpacing)
			h.trackers[0].RequestCompleted(crashing)
			h.trackers[0].RequestCompleted(harmless)
			h.trackers[1].RequestCompleted(fingerprintOf(3))
			time.Sleep(time.Minute)
			Expect(h.store.Writes()).To(BeZero())
			h.crash(0, "e1", crashing)
			time.Sleep(time.Minute)
			Expect(h.store.Writes()).To(Equal(1))
		})
	})
})

// maxRowBytes is what the users' store takes of a row.
const maxRowBytes = 65536

var _ = Describe("the stored row of a host", func() {
	It("stays within what the store takes, whatever callers send", func() {
		withHosts(2, func(h *testHosts) {
			id := strings.Repeat("<", 40)
			for i := range 40 {
				var requests []quarantine.Request
				for n := range 20 {
					requests = append(requests, h.prompt("a workspace of some length", fmt.Sprint(n, id), fmt.Sprint("x", n, id)))
				}
				h.crashUnder(0, requests...)
				if i%10 == 9 {
					time.Sleep(3 * time.Second)
				}
			}
			stored := h.store.Value(quarantine.Table, "host-0")
			Expect(stored).NotTo(BeNil())
			Expect(len(stored)).To(BeNumerically("<=", maxRowBytes))
			Expect(h.log.contents()).NotTo(ContainSubstring("can't be stored"))
		})
	})
})
