package usage_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/standin/suite"
	"quaybarrow/internal/usage"
)

const window = 5 * time.Second

// windowStart is a time of day at which a window starts.
var windowStart = time.UnixMilli(353_445_120 * window.Milliseconds())

// first is the window that starts at windowStart.
var first = usage.WindowOf(windowStart, window)

var _ = Describe("usage", func() {
	It("is counted in the window in which a request starts, independent of the host's wall clock", func() {
		suite.Paused(func() {
			c := usage.NewCounter("a")
			for range 12 { // one a second, the first in the middle of a second
				time.Sleep(500 * time.Millisecond)
				c.CountRequest("weavers")
				time.Sleep(500 * time.Millisecond)
			}
			a := c.Snapshot(windowStart.Add(12*time.Second), window, 0)
			Expect(a.Windows).To(Equal(map[usage.Window]usage.Counts{
				first: {"weavers": 5}, first + 1: {"weavers": 5}, first + 2: {"weavers": 2},
			}))
			later := c.Snapshot(windowStart.Add(14*time.Second), window, first+1) // by another time of day
			Expect(later.Windows).To(Equal(map[usage.Window]usage.Counts{first + 1: {"weavers": 5}, first + 2: {"weavers": 4}}))
		})
	})

	It("is kept by a counter for a limited time", func() {
		suite.Paused(func() {
			c := usage.NewCounter("a")
			c.CountRequest("weavers")
			time.Sleep(time.Minute)
			c.CountRequest("weavers")
			a := c.Snapshot(windowStart, window, 0)
			Expect(a.Windows).To(HaveLen(1))
		})
	})

	It("is reported once all hosts have answered after a window's end", func() {
		l := usage.NewLedger(window)
		l.MarkReported(first - 1)
		l.SetHostUsage("a", usage.HostUsage{Incarnation: "a1", Windows: map[usage.Window]usage.Counts{first: {"weavers": 3}}}, windowStart.Add(4*time.Second))
		l.SetHostUsage("b", usage.HostUsage{Incarnation: "b1", Windows: map[usage.Window]usage.Counts{first: {"weavers": 1, "dyers": 2}}}, windowStart.Add(6*time.Second))
		Expect(l.Due(windowStart.Add(6 * time.Second))).To(BeEmpty())
		l.SetHostUsage("a", usage.HostUsage{Incarnation: "a1", Windows: map[usage.Window]usage.Counts{first: {"weavers": 4}}}, windowStart.Add(7*time.Second))
		Expect(l.Due(windowStart.Add(7 * time.Second))).To(Equal([]usage.Report{{Window: first, Counts: usage.Counts{"weavers": 5, "dyers": 2}}}))
	})

	It("includes the counts of a failed host's previous incarnation and of its next one", func() {
		l := usage.NewLedger(window)
		l.MarkReported(first - 1)
		l.SetHostUsage("a", usage.HostUsage{Incarnation: "a1", Windows: map[usage.Window]usage.Counts{first: {"weavers": 3}}}, windowStart.Add(2*time.Second))
		l.SetHostUsage("a", usage.HostUsage{Incarnation: "a2", Windows: map[usage.Window]usage.Counts{first: {"weavers": 2}}}, windowStart.Add(6*time.Second))
		Expect(l.Due(windowStart.Add(6 * time.Second))).To(Equal([]usage.Report{{Window: first, Counts: usage.Counts{"weavers": 5}}}))
	})

	It("includes the backups of a failed host's counts", func() {
		l := usage.NewLedger(window)
		l.MarkReported(first - 1)
		l.SetHostUsage("a", usage.HostUsage{Incarnation: "a1", Windows: map[usage.Window]usage.Counts{first: {"weavers": 3}}}, windowStart.Add(6*time.Second))
		l.MergeBackup(usage.HostUsage{Incarnation: "b1", Windows: map[usage.Window]usage.Counts{first - 1: {"weavers": 9}, first: {"weavers": 2, "dyers": 1}}})
		l.MergeBackup(usage.HostUsage{Incarnation: "b1", Windows: map[usage.Window]usage.Counts{first: {"weavers": 1, "dyers": 2}}})
		Expect(l.Due(windowStart.Add(6 * time.Second))).To(Equal([]usage.Report{{Window: first, Counts: usage.Counts{"weavers": 5, "dyers": 2}}}))
	})

	It("is not counted twice if a host later assigns a request to another window", func() {
		l := usage.NewLedger(window)
		l.MarkReported(first - 1)
		l.SetHostUsage("a", usage.HostUsage{Incarnation: "a1", Windows: map[usage.Window]usage.Counts{first: {"weavers": 3}}}, windowStart.Add(6*time.Second))
		l.SetHostUsage("a", usage.HostUsage{Incarnation: "a1", Windows: map[usage.Window]usage.Counts{first: {"weavers": 2}, first + 1: {"weavers": 1}}}, windowStart.Add(11*time.Second))
		l.MergeBackup(usage.HostUsage{Incarnation: "a1", Windows: map[usage.Window]usage.Counts{first: {"weavers": 3}}})
		Expect(l.Due(windowStart.Add(11 * time.Second))).To(Equal([]usage.Report{
			{Window: first, Counts: usage.Counts{"weavers": 2}}, {Window: first + 1, Counts: usage.Counts{"weavers": 1}},
		}))
	})

	It("is reported after a bounded wait for a host that does not answer", func() {
		l := usage.NewLedger(window)
		l.MarkReported(first - 1)
		l.SetHostUsage("a", usage.HostUsage{Incarnation: "a1", Windows: map[usage.Window]usage.Counts{first: {"weavers": 3}}}, windowStart.Add(2*time.Second))
		l.SetHostUsage("b", usage.HostUsage{Incarnation: "b1"}, windowStart.Add(8*time.Second))
		Expect(l.Due(windowStart.Add(9 * time.Second))).To(BeEmpty())
		Expect(l.Due(windowStart.Add(10 * time.Second))).To(HaveLen(1))
	})

	It("is reported for windows without requests, too, once a window was reported", func() {
		l := usage.NewLedger(window)
		Expect(l.Due(windowStart)).To(BeEmpty())
		l.MarkReported(first)
		Expect(l.Due(windowStart.Add(20 * time.Second))).To(BeEmpty()) // no host has answered yet
		l.SetHostUsage("a", usage.HostUsage{Incarnation: "a1"}, windowStart.Add(16*time.Second))
		Expect(l.Due(windowStart.Add(20 * time.Second))).To(Equal([]usage.Report{
			{Window: first + 1, Counts: usage.Counts{}}, {Window: first + 2, Counts: usage.Counts{}},
		}))
	})

	It("is not reported twice", func() {
		l := usage.NewLedger(window)
		l.SetHostUsage("a", usage.HostUsage{Incarnation: "a1", Windows: map[usage.Window]usage.Counts{first: {"weavers": 3}}}, windowStart.Add(6*time.Second))
		Expect(l.Due(windowStart.Add(6 * time.Second))).To(HaveLen(1))
		l.MarkReported(first)
		Expect(l.Due(windowStart.Add(6 * time.Second))).To(BeEmpty())
		Expect(l.FirstUnreported(windowStart.Add(6 * time.Second))).To(Equal(first + 1))
	})
})

var _ = Describe("the median clock", func() {
	readings := func(ahead ...time.Duration) []usage.ClockReading {
		var all []usage.ClockReading
		for _, d := range ahead {
			all = append(all, usage.ClockReading{At: clock.Now(), Time: windowStart.Add(d)})
		}
		return all
	}

	It("shows the median of the hosts' wall clocks, and advances", func() {
		suite.Paused(func() {
			t := usage.MedianClock{}.With(readings(0, 2400*time.Millisecond, 10*time.Millisecond, 5*time.Millisecond, 2400*time.Millisecond), 5)
			time.Sleep(time.Second)
			now, known := t.Now()
			Expect(known).To(BeTrue())
			Expect(now).To(Equal(windowStart.Add(1010 * time.Millisecond)))
		})
	})

	It("is not updated if too few hosts answer", func() {
		suite.Paused(func() {
			t := usage.MedianClock{}.With(readings(0, 0, 0), 5)
			t = t.With(readings(2400*time.Millisecond, 2400*time.Millisecond), 5)
			now, _ := t.Now()
			Expect(now).To(Equal(windowStart))
			_, known := usage.MedianClock{}.With(readings(0), 5).Now()
			Expect(known).To(BeFalse())
		})
	})
})
