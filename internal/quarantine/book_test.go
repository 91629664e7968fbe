package quarantine_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/quarantine"
	"quaybarrow/platform/standin"
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
					h.books[(i+1)%3].Finished(guilty)
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
			h.books[2].Finished(guilty)
			time.Sleep(apart)
			Expect(h.quarantined(guilty)).To(Equal(none))
		})
	})

	It("clear what goes on elsewhere for longer than endpoints took to crash under it", func() {
		sharing(3, func(h *hosts) {
			ongoing := h.books[1].Begin(func() quarantine.Fingerprint { return beside })
			time.Sleep(apart)
			ongoing.Arrived(clock.Now())
			h.thrice(beside)
			Expect(h.quarantined(beside)).To(Equal(none))
			h.books[1].End(ongoing)
			h.thrice(guilty)
			Expect(h.quarantined(guilty)).To(Equal(all))
		})
	})

	// A host that was frozen learns of crashes before it has read that its own connection ended
	// with one of them: by time alone its answer had gone on all along, and it let out, for all
	// hosts, a request that crashes endpoints.
	It("take no answer for one that goes on of which nothing more has come", func() {
		sharing(3, func(h *hosts) {
			ongoing := h.books[1].Begin(func() quarantine.Fingerprint { return guilty })
			ongoing.Arrived(clock.Now())
			time.Sleep(apart)
			h.thrice(guilty)
			Expect(h.quarantined(guilty)).To(Equal(all))
			h.books[1].End(ongoing)
		})
	})

	It("leave it to its caller after two crashes, and what was beside one is repeated", func() {
		sharing(3, func(h *hosts) {
			h.crash(0, "e0", guilty, beside)
			Expect(h.books[0].Standing(guilty).Repeats(1)).To(BeTrue())
			time.Sleep(apart)
			h.crash(0, "e1", guilty)
			Expect(h.books[0].Standing(guilty).Repeats(2)).To(BeFalse())
			Expect(h.books[0].Standing(guilty).Repeats(1)).To(BeTrue(), "another copy")
			Expect(h.books[0].Standing(beside).Repeats(1)).To(BeTrue())
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
			Expect(h.books[1].Lift(beside)).To(BeFalse())
			Expect(h.books[1].Lift(guilty)).To(BeTrue())
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
	Expect(h.books[0].Lift(f)).To(BeTrue())
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
	h.books[host].Broke(context.Background(), quarantine.Break{Endpoint: endpoint, Address: endpoint, Service: "s", Request: f, Run: quarantine.Run{Lasted: 3 * time.Second}})
}

// storeFaults are ways in which the store is away.
var storeFaults = map[string]standin.Fault{
	"is silent": standin.Silent, "is busy": standin.Busy, "loses the answers to writes": standin.LoseTx, "limits calls": standin.Limited,
}

var _ = Describe("what hosts have seen of crashes", func() {
	It("outlasts each of them, and all of them at once", func() {
		sharing(3, func(h *hosts) {
			h.crash(0, "e0", guilty)
			time.Sleep(apart)
			h.crash(0, "e1", guilty)
			time.Sleep(apart)
			h.killAll()
			h.crash(1, "e2", guilty)
			time.Sleep(apart)
			Expect(h.quarantined(guilty)).To(Equal(all))
			h.killAll()
			Expect(h.quarantined(guilty)).To(Equal(all))
			h.kill(2)
			h.start(2)
			time.Sleep(apart)
			Expect(h.quarantined(guilty)).To(Equal(all))
		})
	})

	for name, away := range map[string]bool{"": false, ", while the store is away": true} {
		It("outlasts a host that starts again and sees a crash before it has heard of its earlier life"+name, func() {
			sharing(3, func(h *hosts) {
				for i := range 3 {
					h.crash(0, fmt.Sprint("e", i), guilty)
					time.Sleep(apart)
				}
				Expect(h.quarantined(guilty)).To(Equal(all))
				if away {
					h.store.Break(standin.Silent)
				}
				h.kill(0)
				h.start(0)
				h.crash(0, "e9", beside)
				for range 50 {
					time.Sleep(100 * time.Millisecond)
					Expect(h.quarantined(guilty)[1:]).To(Equal(all[1:]), "at the other hosts")
				}
				Expect(h.quarantined(guilty)).To(Equal(all))
				h.store.Break(standin.Healthy)
			})
		})
	}

	It("does not come back with a host's earlier life once it was cleared", func() {
		sharing(3, func(h *hosts) {
			h.thrice(guilty)
			h.letOut(guilty)
			time.Sleep(3 * time.Second)
			h.killAll()
			Expect(h.quarantined(guilty)).To(Equal(none))
		})
	})

	for name, fault := range storeFaults {
		It("is known to all while the store "+name+", and kept once it is back", func() {
			sharing(3, func(h *hosts) {
				h.store.Break(fault)
				h.thrice(guilty)
				Expect(h.quarantined(guilty)).To(Equal(all))
				h.store.Break(standin.Healthy)
				time.Sleep(3 * time.Second)
				h.killAll()
				Expect(h.quarantined(guilty)).To(Equal(all))
			})
		})
	}

	It("is the newest in the store though an older write is done late", func() {
		sharing(1, func(h *hosts) {
			h.store.Break(standin.Silent)
			h.crash(0, "e0", guilty)
			time.Sleep(apart)
			h.crash(0, "e1", guilty)
			time.Sleep(3 * time.Second)
			old := []byte(`{"version":1,"row":{}}`)
			h.store.Break(standin.Healthy)
			time.Sleep(2 * time.Second)
			h.store.Put(quarantine.Table, "host-0", old)
			time.Sleep(10 * time.Second)
			Expect(h.store.Value(quarantine.Table, "host-0")).NotTo(Equal(old))
		})
	})

	It("reaches hosts that were cut off, or were passed over, within three seconds of their return", func() {
		sharing(3, func(h *hosts) {
			h.cutOff(2, true)
			h.thrice(guilty)
			h.crash(1, "f", guilty)
			time.Sleep(apart)
			Expect(h.quarantined(guilty)).To(Equal([]bool{true, true, false}))
			h.cutOff(2, false)
			time.Sleep(3 * time.Second)
			Expect(h.quarantined(guilty)).To(Equal(all))
		})
	})

	It("reaches 60 hosts at once, though some of them do not answer", func() {
		sharing(60, func(h *hosts) {
			for i := range 9 {
				h.cutOff(10+i*5, true)
			}
			before := h.told()
			h.thrice(guilty)
			Expect(h.told()-before).To(BeNumerically("<", 3*60+60*3*2), "what is told, and 60 hosts that compare in three seconds")
			for i, held := range h.quarantined(guilty) {
				Expect(held).To(Equal(!h.isCut(i)), "host %d", i)
			}
		})
	})

	// When a seventh of thousands of endpoints crash, hundreds of hosts have had something there. A
	// request that crashes endpoints is to be known to all within three seconds all the same.
	It("is told with messages that grow no faster than the hosts, however many have seen it", func() {
		const count, saw = 400, 200
		sharing(count, func(h *hosts) {
			time.Sleep(2 * time.Second)
			before := h.told()
			for i := range 3 {
				for j := range saw {
					h.crash((2*j+i)%count, fmt.Sprint("e", i), guilty, printOf(uint64(1000*i+j+10)))
				}
				time.Sleep(apart)
			}
			sent := h.told() - before
			time.Sleep(toldWithin - apart)
			for i, held := range h.quarantined(guilty) {
				Expect(held).To(BeTrue(), "host %d", i)
			}
			// For each crash each host hears of it some times, and those that saw it tell one each;
			// besides, each compares with another one now and then.
			Expect(sent).To(BeNumerically("<", 3*(saw+hears*count)+2*count*2))
		})
	})

	It("is passed over where it can't be read", func() {
		sharing(3, func(h *hosts) {
			h.thrice(guilty)
			h.store.Put(quarantine.Table, "host-9", []byte(`{"row":7}`))
			_, err := h.books[0].Hear(context.Background(), quarantine.News{Rows: []quarantine.Row{{Host: "host-8", Version: 9, Value: []byte("{")}}})
			Expect(err).NotTo(HaveOccurred())
			h.killAll()
			Expect(h.quarantined(guilty)).To(Equal(all))
			Expect(h.log.read()).To(ContainSubstring("can't be read"))
		})
	})

	It("is bounded, and those in quarantine stay", func() {
		sharing(3, func(h *hosts) {
			h.thrice(guilty)
			for i := range 300 {
				h.crash(0, fmt.Sprint("x", i), printOf(uint64(1000+i)))
				time.Sleep(300 * time.Millisecond)
			}
			time.Sleep(apart)
			Expect(h.quarantined(guilty)).To(Equal(all))
			Expect(len(h.store.Value(quarantine.Table, "host-0"))).To(BeNumerically("<", 30_000))
		})
	})

	It("costs no write while nothing crashes, or all that ran there comes to a good end elsewhere", func() {
		sharing(3, func(h *hosts) {
			time.Sleep(time.Minute)
			h.crash(0, "e0", guilty, beside)
			h.crash(1, "e0", printOf(3))
			time.Sleep(apart)
			h.books[0].Finished(guilty)
			h.books[0].Finished(beside)
			h.books[1].Finished(printOf(3))
			time.Sleep(time.Minute)
			Expect(h.store.Writes()).To(BeZero())
			h.crash(0, "e1", guilty)
			time.Sleep(time.Minute)
			Expect(h.store.Writes()).To(Equal(1))
		})
	})
})
