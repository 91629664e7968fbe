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

// prompt returns a request with parts in its prompt that no other request is like.
func (h *testHosts) prompt(workspace string, parts ...string) quarantine.Request {
	h.crashCount++
	r := quarantine.Request{Fingerprint: fingerprintOf(uint64(1000+h.crashCount) << 32), Workspace: workspace}
	for _, id := range parts {
		r.Parts = append(r.Parts, quarantine.NewPart("s", id))
	}
	return r
}

// crashUnder reports to a host that an endpoint crashed while it ran the requests.
func (h *testHosts) crashUnder(host int, requests ...quarantine.Request) {
	h.crashCount++
	endpoint := fmt.Sprint("of-parts-", h.crashCount)
	for _, r := range requests {
		Expect(h.trackers[host].ConnectionBroke(context.Background(), quarantine.BrokenAttempt{
			Endpoint: endpoint, Address: endpoint, Service: "s", Request: r, Run: quarantine.Run{Lasted: 80 * time.Millisecond},
		})).To(BeTrue())
	}
}

// crashParts has endpoints crash under requests of a workspace with these parts, no two alike, as seen
// by several hosts.
func (h *testHosts) crashParts(times int, workspace string, parts ...string) {
	for i := range times {
		h.crashUnder(i%len(h.trackers), h.prompt(workspace, parts...))
		time.Sleep(crashSpacing)
	}
}

// answer has a request answered at a host for longer than endpoints take to crash.
func (h *testHosts) answer(host int, r quarantine.Request) {
	o := h.trackers[host].BeginResponse("sound", func() quarantine.Request { return r }, func() []quarantine.Part { return r.Parts })
	time.Sleep(30 * time.Millisecond)
	h.trackers[host].EndResponse(o, true)
	time.Sleep(crashSpacing)
}

// refused returns for each host whether requests of a workspace with these parts are refused there.
func (h *testHosts) refused(workspace string, parts ...string) []bool {
	var refused []bool
	for _, t := range h.trackers {
		refused = append(refused, t.Status(h.prompt(workspace, parts...)).Quarantined)
	}
	return refused
}

var _ = Describe("crashes under requests with a part in common", func() {
	It("have requests with it refused at all hosts after the fifth, and others not", func() {
		withHosts(3, func(h *testHosts) {
			h.crashParts(4, "w", "dead")
			Expect(h.refused("w", "dead")).To(Equal(noHost))
			h.crashParts(1, "w", "dead")
			Expect(h.refused("w", "dead")).To(Equal(everyHost))
			Expect(h.refused("w", "first", "dead")).To(Equal(everyHost))
			Expect(h.refused("w", "first")).To(Equal(noHost))
		})
	})

	It("count against no part that was answered between them", func() {
		withHosts(3, func(h *testHosts) {
			for range 4 {
				h.crashParts(3, "w", "sound")
				h.answer(1, h.prompt("w", "sound"))
			}
			Expect(h.refused("w", "sound")).To(Equal(noHost))
		})
	})

	It("count against no part that was at one of them for longer than endpoints take to crash", func() {
		withHosts(3, func(h *testHosts) {
			for i := range 8 {
				r := h.prompt("w", "sound")
				h.trackers[0].ConnectionBroke(context.Background(), quarantine.BrokenAttempt{
					Endpoint: fmt.Sprint("e", i), Address: fmt.Sprint("e", i), Service: "s", Request: r, Begun: true, Run: quarantine.Run{Lasted: time.Second},
				})
				time.Sleep(crashSpacing)
			}
			Expect(h.refused("w", "sound")).To(Equal(noHost))
		})
	})

	It("count against the request and no part if it is one and the same", func() {
		withHosts(3, func(h *testHosts) {
			r := h.prompt("w", "sound")
			for i := range 8 {
				h.crashUnder(i%3, r)
				time.Sleep(crashSpacing)
			}
			Expect(h.quarantined(r.Fingerprint)).To(Equal(everyHost))
			Expect(h.refused("w", "sound")).To(Equal(noHost))
		})
	})

	It("count against no request in the end that was beside it until it was refused", func() {
		withHosts(3, func(h *testHosts) {
			beside := h.prompt("w", "other")
			for i := range 7 {
				requests := []quarantine.Request{h.prompt("w", "dead")}
				if !h.trackers[i%3].Status(beside).Quarantined {
					requests = append(requests, beside)
				}
				h.crashUnder(i%3, requests...)
				time.Sleep(crashSpacing)
			}
			Expect(h.refused("w", "dead")).To(Equal(everyHost))
			Expect(h.quarantined(beside.Fingerprint)).To(Equal(noHost))
		})
	})

	It("have only requests with all of the parts refused that can't be told apart, until one is answered", func() {
		withHosts(3, func(h *testHosts) {
			h.crashParts(5, "w", "dead", "sound")
			Expect(h.refused("w", "dead", "sound")).To(Equal(everyHost))
			Expect(h.refused("w", "sound")).To(Equal(noHost))
			Expect(h.refused("w", "dead")).To(Equal(noHost))
			Expect(h.trackers[2].Status(h.prompt("w", "sound")).IsSuspect()).To(BeTrue())
			h.answer(1, h.prompt("w", "sound"))
			Expect(h.refused("w", "dead")).To(Equal(everyHost))
			Expect(h.refused("w", "sound")).To(Equal(noHost))
			Expect(h.trackers[2].Status(h.prompt("w", "sound")).IsSuspect()).To(BeFalse())
		})
	})

	It("have two parts refused that come to the same endpoints in different requests", func() {
		withHosts(3, func(h *testHosts) {
			for i := range 5 {
				h.crashUnder(i%3, h.prompt("w", "dead"), h.prompt("w", "deadly"))
				time.Sleep(crashSpacing)
			}
			for range 2 {
				for _, id := range []string{"dead", "deadly"} {
					if r := h.prompt("w", id); !h.trackers[0].Status(r).Quarantined {
						h.crashUnder(0, r)
					}
					time.Sleep(crashSpacing)
				}
			}
			Expect(h.refused("w", "dead")).To(Equal(everyHost))
			Expect(h.refused("w", "deadly")).To(Equal(everyHost))
		})
	})

	It("keep a part refused though another that came beside it is at more of them", func() {
		withHosts(3, func(h *testHosts) {
			for i := range 5 {
				h.crashUnder(i%3, h.prompt("w", "dead"))
				time.Sleep(crashSpacing / 4)
			}
			Expect(h.refused("w", "dead")).To(Equal(everyHost))
			for i := range 3 {
				h.crashUnder(i%3, h.prompt("w", "deadly"))
				time.Sleep(crashSpacing / 4)
			}
			for i := range 5 {
				h.crashUnder(i%3, h.prompt("w", "deadly"), h.prompt("w", "dead")) // of a host that had not heard
				time.Sleep(crashSpacing / 4)
			}
			Expect(h.refused("w", "dead")).To(Equal(everyHost))
			Expect(h.refused("w", "deadly")).To(Equal(everyHost))
		})
	})

	It("tell parts apart by crashes under one without the other", func() {
		withHosts(3, func(h *testHosts) {
			h.crashParts(5, "w", "dead", "sound")
			h.crashParts(2, "w", "dead")
			Expect(h.refused("w", "dead")).To(Equal(everyHost))
			Expect(h.refused("w", "sound")).To(Equal(noHost))
		})
	})

	It("have only the workspace refused whose requests they were, until another's crash endpoints too", func() {
		withHosts(3, func(h *testHosts) {
			h.crashParts(5, "w", "dead")
			Expect(h.refused("v", "dead")).To(Equal(noHost))
			Expect(h.trackers[0].Status(h.prompt("v", "dead")).IsSuspect()).To(BeTrue())
			h.crashParts(1, "v", "dead")
			Expect(h.refused("v", "dead")).To(Equal(everyHost))
			Expect(h.refused("u", "dead")).To(Equal(everyHost))
		})
	})

	It("have requests with it wait for their turn if they all came at one moment", func() {
		withHosts(3, func(h *testHosts) {
			for i := range 6 {
				h.crashUnder(i%3, h.prompt("w", "dead"))
			}
			time.Sleep(crashSpacing)
			Expect(h.refused("w", "dead")).To(Equal(noHost))
			Expect(h.trackers[1].Status(h.prompt("w", "dead")).IsSuspect()).To(BeTrue())
			h.crashParts(2, "w", "dead")
			Expect(h.refused("w", "dead")).To(Equal(everyHost))
		})
	})

	It("are at several moments if many of them follow each other closely", func() {
		withHosts(3, func(h *testHosts) {
			for i := range 8 {
				h.crashUnder(i%3, h.prompt("w", "dead"))
				time.Sleep(12 * time.Millisecond)
			}
			time.Sleep(crashSpacing / 4)
			Expect(h.refused("w", "dead")).To(Equal(everyHost))
		})
	})

	It("are known after the restart of all hosts, and forgotten there once the part was answered", func() {
		withHosts(3, func(h *testHosts) {
			h.crashParts(5, "w", "dead")
			h.crashParts(4, "w", "sound")
			time.Sleep(3 * time.Second)
			h.restartAll()
			Expect(h.refused("w", "dead")).To(Equal(everyHost))
			h.answer(0, h.prompt("w", "sound"))
			time.Sleep(3 * time.Second)
			h.restartAll()
			h.crashParts(2, "w", "sound")
			Expect(h.refused("w", "sound")).To(Equal(noHost))
			Expect(h.refused("w", "dead")).To(Equal(everyHost))
		})
	})

	It("are known to a host that was cut off within three seconds of its return", func() {
		withHosts(3, func(h *testHosts) {
			h.setPartitioned(2, true)
			for range 5 {
				h.crashUnder(0, h.prompt("w", "dead"))
				time.Sleep(crashSpacing)
			}
			Expect(h.refused("w", "dead")).To(Equal([]bool{true, true, false}))
			h.setPartitioned(2, false)
			time.Sleep(3 * time.Second)
			Expect(h.refused("w", "dead")).To(Equal(everyHost))
		})
	})

	It("are listed for operators, who release the part", func() {
		withHosts(3, func(h *testHosts) {
			h.crashParts(5, "w", "dead")
			list := h.trackers[1].List()
			Expect(list).To(HaveLen(1))
			Expect(list[0].Label).To(Equal("part dead of prompts of w"))
			Expect(list[0].Quarantined).To(BeTrue())
			Expect(h.trackers[1].Release(list[0].Request)).To(BeTrue())
			time.Sleep(crashSpacing)
			Expect(h.refused("w", "dead")).To(Equal(noHost))
		})
	})
})

var _ = Describe("an answer on a part", func() {
	It("clears nothing by bytes that a host reads late after it was frozen", func() {
		withHosts(3, func(h *testHosts) {
			dead := h.prompt("w", "dead")
			o := h.trackers[0].BeginResponse("e", func() quarantine.Request { return dead }, nil)
			o.DataArrived(clock.Now())
			h.crashParts(5, "w", "dead")
			o.DataArrived(clock.Now())
			Expect(h.refused("w", "dead")).To(Equal(everyHost))
			h.trackers[0].EndResponse(o, false)
		})
	})

	It("clears the part while it goes on arriving", func() {
		withHosts(3, func(h *testHosts) {
			o := h.trackers[0].BeginResponse("e", func() quarantine.Request { return h.prompt("w", "sound") }, nil)
			for range 8 {
				time.Sleep(100 * time.Millisecond)
				o.DataArrived(clock.Now())
			}
			h.crashParts(5, "w", "sound")
			time.Sleep(100 * time.Millisecond)
			o.DataArrived(clock.Now())
			time.Sleep(crashSpacing)
			Expect(h.refused("w", "sound")).To(Equal(noHost))
			h.trackers[0].EndResponse(o, false)
		})
	})

	It("counts as a crash under it if its endpoint crashes right after its end", func() {
		withHosts(3, func(h *testHosts) {
			for i := range 6 {
				dead := h.prompt("w", "dead")
				o := h.trackers[0].BeginResponse(fmt.Sprint("e", i), func() quarantine.Request { return dead }, nil)
				time.Sleep(20 * time.Millisecond)
				h.trackers[0].EndResponse(o, true)
				time.Sleep(50 * time.Millisecond)
				h.trackers[1].ConnectionBroke(context.Background(), quarantine.BrokenAttempt{
					Endpoint: fmt.Sprint("e", i), Address: fmt.Sprint("e", i), Service: "s", Request: h.prompt("w", "other"), Run: quarantine.Run{Lasted: time.Second},
				})
				time.Sleep(2 * crashSpacing)
				h.answer(2, h.prompt("w", "other"))
			}
			Expect(h.refused("w", "dead")).To(Equal(everyHost))
			Expect(h.refused("w", "other")).To(Equal(noHost))
		})
	})
})

var _ = Describe("a part that was answered in the minutes before", func() {
	It("is not refused for crashes under several other parts that all came with it", func() {
		withHosts(3, func(h *testHosts) {
			h.answer(1, h.prompt("w", "common"))
			h.crashParts(1, "w", "other")
			for i := range 12 {
				h.crashUnder(i%3, h.prompt("w", "common", fmt.Sprint("dead", i%3)))
				time.Sleep(50 * time.Millisecond)
			}
			time.Sleep(crashSpacing)
			Expect(h.refused("w", "common")).To(Equal(noHost))
		})
	})

	It("is not refused with another that was not, also by a host that has just started", func() {
		withHosts(3, func(h *testHosts) {
			h.answer(1, h.prompt("w", "common"))
			h.kill(2)
			h.start(2)
			time.Sleep(crashSpacing)
			h.crashParts(5, "w", "common", "dead")
			Expect(h.refused("w", "dead")).To(Equal(everyHost))
			Expect(h.refused("w", "common")).To(Equal(noHost))
		})
	})

	It("is not one whose answers ended whole right before their endpoints crashed", func() {
		withHosts(3, func(h *testHosts) {
			for i := range 8 {
				dead := h.prompt("w", "dead")
				o := h.trackers[0].BeginResponse(fmt.Sprint("e", i), func() quarantine.Request { return dead }, func() []quarantine.Part { return dead.Parts })
				time.Sleep(20 * time.Millisecond)
				h.trackers[0].EndResponse(o, true)
				time.Sleep(50 * time.Millisecond)
				h.trackers[0].ConnectionBroke(context.Background(), quarantine.BrokenAttempt{
					Endpoint: fmt.Sprint("e", i), Address: fmt.Sprint("e", i), Service: "s", Request: h.prompt("w"), Run: quarantine.Run{Lasted: time.Second},
				})
				time.Sleep(80 * time.Millisecond)
			}
			time.Sleep(200 * time.Millisecond)
			Expect(h.refused("w", "dead")).To(Equal(everyHost))
		})
	})

	// Guards against refusing a sound part for an hour: refused, it gets no answer that could clear it.
	It("is tried again some time after its last crash, and later if endpoints crash under it again", func() {
		withHosts(3, func(h *testHosts) {
			h.answer(1, h.prompt("w", "turned"))
			h.crashParts(5, "w", "turned")
			time.Sleep(8 * time.Second)
			Expect(h.refused("w", "turned")).To(Equal(everyHost))
			time.Sleep(2 * time.Second)
			Expect(h.refused("w", "turned")).To(Equal(noHost))
			Expect(h.suspect("turned")).To(Equal(everyHost))
			h.crashParts(1, "w", "turned")
			time.Sleep(18 * time.Second)
			Expect(h.refused("w", "turned")).To(Equal(everyHost))
			time.Sleep(2 * time.Second)
			h.answer(2, h.prompt("w", "turned"))
			time.Sleep(time.Second)
			Expect(h.refused("w", "turned")).To(Equal(noHost))
			Expect(h.suspect("turned")).To(Equal(noHost))
		})
	})

	It("is refused after more crashes, one after the other", func() {
		withHosts(3, func(h *testHosts) {
			h.answer(1, h.prompt("w", "turned"))
			h.crashParts(5, "w", "turned")
			Expect(h.refused("w", "turned")).To(Equal(everyHost))
		})
	})
})
