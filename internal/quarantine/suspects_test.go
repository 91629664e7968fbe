package quarantine_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/quarantine"
)

// suspect returns for each host whether requests with these parts go by turns there.
func (h *testHosts) suspect(parts ...string) []bool {
	var suspect []bool
	for _, t := range h.trackers {
		suspect = append(suspect, t.Status(h.prompt("w", parts...)).IsSuspect())
	}
	return suspect
}

var _ = Describe("crashes under requests that may not be the cause", func() {
	// Guards against sending all requests that waited by turns together while a verdict on their part settles.
	It("have requests with it go by turns or be refused at any moment from the fifth on", func() {
		withHosts(3, func(h *testHosts) {
			two := []quarantine.Request{h.prompt("w", "dead"), h.prompt("w", "dead")}
			for i := range 6 {
				h.crashUnder(i%3, two[i%2])
				time.Sleep(crashSpacing)
			}
			h.crashUnder(0, h.prompt("w", "dead"))
			for range 100 {
				time.Sleep(time.Millisecond)
				for _, t := range h.trackers {
					s := t.Status(h.prompt("w", "dead"))
					Expect(s.Quarantined || s.IsSuspect()).To(BeTrue())
				}
			}
			Expect(h.refused("w", "dead")).To(Equal(everyHost))
		})
	})

	// Guards against sending all that waited for a service together, while too few crashes are known for a suspect.
	It("have requests with it go by turns from the second on if the service was without endpoints since", func() {
		withHosts(3, func(h *testHosts) {
			h.answer(1, h.prompt("w", "first"))
			h.crashParts(2, "w", "first", "dead")
			Expect(h.suspect("first", "dead")).To(Equal(noHost))
			for _, t := range h.trackers {
				t.ServiceEmptied("s")
			}
			Expect(h.suspect("first", "dead")).To(Equal(everyHost))
			for _, t := range h.trackers {
				Expect(t.Status(h.prompt("w", "first", "dead")).IsHeld()).To(BeTrue())
				Expect(t.Status(h.prompt("w", "first")).Turns("s").Key).To(Equal("s/answered"), "it shows whether the part that was answered before is sound")
				Expect(t.Status(h.prompt("w", "first", "other")).Turns("s").Key).To(Equal("s/other"), "it shows it too, if it has to")
			}
			h.answer(2, h.prompt("w", "first", "other"))
			time.Sleep(time.Second)
			Expect(h.suspect("first")).To(Equal(noHost))
			Expect(h.suspect("first", "dead")).To(Equal(everyHost))
			h.answer(1, h.prompt("w", "dead"))
			time.Sleep(time.Second)
			Expect(h.suspect("first", "dead")).To(Equal(noHost))
		})
	})

	// Guards against sending all copies of a request together because most endpoints crashed under others beside it.
	It("have the same request go by turns of its own, beside others, until it is answered", func() {
		withHosts(3, func(h *testHosts) {
			beside := h.prompt("w")
			for i := range 4 {
				h.crashUnder(i%3, h.prompt("w", fmt.Sprint("dead", i)))
			}
			h.crashUnder(0, beside)
			turn := func() (keys []string) {
				time.Sleep(crashSpacing)
				for _, t := range h.trackers {
					keys = append(keys, t.Status(beside).Turns("s").Key)
				}
				return keys
			}
			Expect(turn()).To(HaveEach(""))
			for _, t := range h.trackers {
				t.ServiceEmptied("s")
			}
			own := "s/" + beside.Fingerprint.String()
			Expect(turn()).To(HaveEach(own))
			h.crashUnder(1, beside)
			Expect(turn()).To(HaveEach(own), "also after another crash")
			h.trackers[2].RequestCompleted(beside.Fingerprint)
			Expect(turn()).To(HaveEach(""))
		})
	})

	// Guards against sending a request freely that has crashed endpoints, as another's verdict explains its crashes.
	It("have a request go by turns that leaves quarantine because the part explains its crashes", func() {
		withHosts(3, func(h *testHosts) {
			released := h.prompt("w", "first")
			for range 2 {
				h.crashUnder(0, released, h.prompt("w", "dead"))
				time.Sleep(crashSpacing)
			}
			h.crashUnder(1, released)
			time.Sleep(crashSpacing)
			Expect(h.quarantined(released.Fingerprint)).To(Equal(everyHost))
			h.crashParts(3, "w", "dead")
			Expect(h.refused("w", "dead")).To(Equal(everyHost))
			Expect(h.quarantined(released.Fingerprint)).To(Equal(noHost))
			for _, t := range h.trackers {
				Expect(t.Status(released).Turns("s")).NotTo(BeZero())
			}
			h.trackers[1].RequestCompleted(released.Fingerprint)
			time.Sleep(crashSpacing)
			h.crashUnder(2, released)
			for _, t := range h.trackers {
				Expect(t.Status(released).Turns("s")).To(BeZero(), "one crash after an answer is no doubt")
			}
		})
	})

	It("have no request go by turns if most endpoints crashed without the part, as when a data hall loses power", func() {
		withHosts(3, func(h *testHosts) {
			for i := range 6 {
				h.crashUnder(i%3, h.prompt("w", fmt.Sprint("own", i/2)))
			}
			time.Sleep(crashSpacing)
			for _, t := range h.trackers {
				t.ServiceEmptied("s")
			}
			Expect(h.suspect("own0")).To(Equal(noHost))
		})
	})
})
