package fleet_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/fleet"
	"quaybarrow/internal/standin/suite"
)

// reportingFleet returns a fleet of endpoints whose responses do not report their load. At each
// endpoint the given number of this host's requests is in flight.
func reportingFleet(o fleet.Options, inFlight ...int) *fleet.Fleet {
	f := fleet.New(o)
	for i, n := range inFlight {
		f.Put(fleet.Endpoint{ID: fmt.Sprint("e", i), Service: "s"})
		f.Report(fmt.Sprint("e", i), fleet.Report{Load: fleet.Load{Slots: 10}, Models: []string{"m"}, Asked: clock.Now()})
		others := allExcept(len(inFlight), i)
		for range n {
			if _, ok := f.Pick(fleet.Request{Service: "s", Avoid: others}); !ok {
				panic("no endpoint")
			}
		}
	}
	return f
}

// allExcept lists all endpoints except one.
func allExcept(count, except int) []string {
	var list []string
	for i := range count {
		if i != except {
			list = append(list, fmt.Sprint("e", i))
		}
	}
	return list
}

func pickID(f *fleet.Fleet, req fleet.Request) string {
	h, ok := f.Pick(req)
	if !ok {
		return ""
	}
	h.Done(fleet.Result{})
	return h.Endpoint.ID
}

var modelRequest = fleet.Request{Service: "s", Model: "m"}

var _ = Describe("endpoints that report their load", func() {
	It("get the attempt if they are less loaded", func() {
		Expect(pickID(reportingFleet(fleet.Options{}, 9, 1), modelRequest)).To(Equal("e1"))
		Expect(pickID(reportingFleet(fleet.Options{}, 1, 9), modelRequest)).To(Equal("e0"))
	})

	It("count less the older the report is, while this host's own count always counts", func() {
		suite.Paused(func() {
			f := reportingFleet(fleet.Options{}, 0, 3)
			f.Report("e0", fleet.Report{Load: fleet.Load{Running: 8, Slots: 10}, Asked: clock.Now()})
			Expect(pickID(f, modelRequest)).To(Equal("e1"))
			time.Sleep(time.Minute)
			Expect(pickID(f, modelRequest)).To(Equal("e0"))
		})
	})

	It("are assumed to be as loaded by other hosts as by this one if reports are old", func() {
		suite.Paused(func() {
			f := reportingFleet(fleet.Options{SendingHosts: func(string) int { return 5 }}, 2, 0)
			f.Report("e1", fleet.Report{Load: fleet.Load{Running: 9, Slots: 10}, Asked: clock.Now()})
			time.Sleep(time.Minute)
			f.Report("e1", fleet.Report{Load: fleet.Load{Running: 9, Slots: 10}, Asked: clock.Now()})
			// Two requests of its own count as ten at the first endpoint, against nine at the
			// second.
			Expect(pickID(f, modelRequest)).To(Equal("e1"))
		})
	})

	It("are never picked if they may not be used", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			n := rapid.IntRange(1, 12).Draw(t, "endpoints")
			f := fleet.New(fleet.Options{})
			fits := map[string]bool{}
			for i := range n {
				id := fmt.Sprint("e", i)
				f.Put(fleet.Endpoint{ID: id, Service: "s", Draining: rapid.Bool().Draw(t, "draining")})
				report := fleet.Report{Draining: rapid.Bool().Draw(t, "leaving"), Asked: clock.Now(), Models: []string{"other"}}
				if rapid.Bool().Draw(t, "has the model") {
					report.Models = append(report.Models, "m")
				}
				f.Report(id, report)
				s := f.View()[index(f, id)]
				fits[id] = !s.Draining && len(report.Models) == 2 && i != 0
			}
			req := fleet.Request{Service: "s", Model: "m", Avoid: []string{"e0"}, Key: 7}
			id := pickID(f, req)
			if id != "" && !fits[id] {
				t.Fatalf("picked %s", id)
			}
			for other, ok := range fits {
				if id == "" && ok {
					t.Fatalf("picked none although %s may be used", other)
				}
			}
		})
	})

	It("serve a model if a healthy one has it", func() {
		f := reportingFleet(fleet.Options{}, 0, 0)
		Expect(f.HasModel("s", "m")).To(BeTrue())
		Expect(f.HasModel("s", "x")).To(BeFalse())
		Expect(f.HasModel("t", "m")).To(BeFalse())
		f.Report("e0", fleet.Report{Draining: true, Models: []string{"m"}, Asked: clock.Now()})
		Expect(f.HasModel("s", "m")).To(BeTrue())
		for range 4 {
			h, _ := f.Pick(modelRequest)
			h.Done(fleet.Result{Outcome: fleet.OutcomeLost})
		}
		Expect(f.HasModel("s", "m")).To(BeFalse())
	})

	It("are ejected longer each time if they fail at once after an ejection", func() {
		suite.Paused(func() {
			f := reportingFleet(fleet.Options{}, 0, 0)
			fail := func() {
				h, ok := f.PickAt(fleet.Advice{Endpoint: "e0"}, modelRequest)
				Expect(ok).To(BeTrue())
				h.Done(fleet.Result{Outcome: fleet.OutcomeFailed})
			}
			for range 5 {
				fail()
			}
			for _, length := range []time.Duration{2 * time.Second, 4 * time.Second, 8 * time.Second} {
				_, ok := f.PickAt(fleet.Advice{Endpoint: "e0"}, modelRequest)
				Expect(ok).To(BeFalse())
				time.Sleep(length - time.Millisecond)
				_, ok = f.PickAt(fleet.Advice{Endpoint: "e0"}, modelRequest)
				Expect(ok).To(BeFalse(), length.String())
				time.Sleep(2 * time.Millisecond)
				fail()
			}
		})
	})

	It("keep the slots that they reported when the list is read again", func() {
		f := reportingFleet(fleet.Options{}, 0)
		f.Reset([]fleet.Endpoint{{ID: "e0", Service: "s"}}, false)
		Expect(f.View()[0].Slots).To(Equal(10))
		Expect(f.View()[0].Models).To(Equal([]string{"m"}))
	})
})

// index returns the index of an endpoint in the view.
func index(f *fleet.Fleet, id string) int {
	for i, s := range f.View() {
		if s.ID == id {
			return i
		}
	}
	return -1
}

func benchmark(b *testing.B, count int, key uint64) {
	f := fleet.New(fleet.Options{Hall: "h"})
	for i := range count {
		f.Put(fleet.Endpoint{ID: fmt.Sprint("e", i), Service: "s", Slots: 10})
	}
	req := fleet.Request{Service: "s", Key: key, Model: "m", Tokens: 6000, SharedTokens: 5000, Objective: 2 * time.Second}
	b.ReportAllocs()
	for b.Loop() {
		h, ok := f.Pick(req)
		if !ok {
			b.Fatal("none")
		}
		h.Done(fleet.Result{Outcome: fleet.OutcomeGood})
	}
}

func BenchmarkPick32Plain(b *testing.B)    { benchmark(b, 32, 0) }
func BenchmarkPick32Prompt(b *testing.B)   { benchmark(b, 32, 3) }
func BenchmarkPick1000Prompt(b *testing.B) { benchmark(b, 1000, 3) }
