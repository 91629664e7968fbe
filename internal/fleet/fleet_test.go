package fleet_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"quaybarrow/internal/fleet"
	"quaybarrow/internal/standin/suite"
)

// addEndpoints adds six endpoints in two data halls.
func addEndpoints(f *fleet.Fleet) {
	for i := range 6 {
		hall := "ikeja"
		if i >= 3 {
			hall = "lekki"
		}
		f.Put(fleet.Endpoint{ID: fmt.Sprintf("e%d", i), Service: "s", Hall: hall, Version: "v1", Slots: 4})
	}
}

func newFleet() *fleet.Fleet { return newFleetWith(nil) }

// newFleetWith returns a fleet with a source of random numbers; nil for the default.
func newFleetWith(random func() float64) *fleet.Fleet {
	f := fleet.New(fleet.Options{Hall: "ikeja", Random: random})
	addEndpoints(f)
	return f
}

var plainRequest = fleet.Request{Service: "s"}

func promptRequest(key uint64) fleet.Request {
	return fleet.Request{Service: "s", Key: key, Model: "m", Tokens: 6000, SharedTokens: 5000, Objective: 2 * time.Second}
}

var _ = Describe("the choice of an endpoint", func() {
	It("stays in the data hall while there are free slots, and then uses others", func() {
		f := newFleet()
		halls := map[string]int{}
		for range 24 {
			h, ok := f.Pick(plainRequest)
			Expect(ok).To(BeTrue())
			halls[h.Endpoint.Hall]++
			if halls["lekki"] == 0 {
				Expect(halls["ikeja"]).To(BeNumerically("<=", 11))
			}
		}
		Expect(halls).To(Equal(map[string]int{"ikeja": 12, "lekki": 12}))
	})

	It("sends requests with the same prompt to one endpoint, and elsewhere once that one has a backlog", func() {
		suite.Paused(func() {
			f := newFleet()
			seen := map[string]int{}
			for range 50 {
				h, _ := f.Pick(promptRequest(7))
				seen[h.Endpoint.ID]++
				time.Sleep(60 * time.Millisecond)
				h.Head(fleet.Load{})
				h.Done(fleet.Result{Outcome: fleet.OutcomeGood})
			}
			Expect(seen).To(HaveLen(1))
			held := map[string]int{}
			for range 30 {
				h, _ := f.Pick(promptRequest(7))
				held[h.Endpoint.ID]++
			}
			Expect(len(held)).To(BeNumerically(">", 1))
		})
	})

	It("avoids an endpoint whose responses wait", func() {
		suite.Paused(func() {
			f := newFleet()
			for key := range uint64(8) {
				h, _ := f.Pick(promptRequest(100 + key))
				time.Sleep(60 * time.Millisecond)
				h.Head(fleet.Load{})
				h.Done(fleet.Result{Outcome: fleet.OutcomeGood})
			}
			home, _ := f.Pick(promptRequest(7))
			time.Sleep(1500 * time.Millisecond)
			home.Head(fleet.Load{})
			home.Done(fleet.Result{Outcome: fleet.OutcomeGood})
			other, _ := f.Pick(promptRequest(7))
			Expect(other.Endpoint.ID).NotTo(Equal(home.Endpoint.ID))
			other.Done(fleet.Result{})
			time.Sleep(3 * time.Second)
			for range 20 {
				again, _ := f.Pick(promptRequest(7))
				Expect(again.Endpoint.ID).To(BeElementOf(home.Endpoint.ID, other.Endpoint.ID), "both have the prompt cached")
				again.Done(fleet.Result{})
			}
		})
	})

	It("never takes an endpoint that is draining, avoided, of another version or removed", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			f := newFleet()
			excluded := map[string]bool{}
			for i := range 6 {
				id := fmt.Sprintf("e%d", i)
				e := fleet.Endpoint{ID: id, Service: "s", Hall: "ikeja", Version: "v1", Slots: 4}
				switch rapid.IntRange(0, 4).Draw(t, "fate") {
				case 0:
					e.Draining = true
					f.Put(e)
				case 1:
					f.Remove(id)
				case 2:
					e.Version = "v2"
					f.Put(e)
				default:
					continue
				}
				excluded[id] = true
			}
			req := promptRequest(rapid.Uint64Range(0, 3).Draw(t, "key"))
			req.Avoid = []string{"e0"}
			req.Allowed = func(v string) bool { return v == "v1" }
			excluded["e0"] = true
			h, ok := f.Pick(req)
			if ok != (len(excluded) < 6) {
				t.Fatalf("picked %v with %d excluded", ok, len(excluded))
			}
			if ok && excluded[h.Endpoint.ID] {
				t.Fatalf("picked %s", h.Endpoint.ID)
			}
		})
	})

	It("passes over an endpoint that fails, and tries it again after a while", func() {
		suite.Paused(func() {
			f := fleet.New(fleet.Options{Hall: "ikeja"})
			f.Put(fleet.Endpoint{ID: "bad", Service: "s", Hall: "ikeja", Slots: 4})
			f.Put(fleet.Endpoint{ID: "far", Service: "s", Hall: "lekki", Slots: 4})
			for range 6 {
				h, _ := f.Pick(fleet.Request{Service: "s", Avoid: []string{"far"}})
				h.Done(fleet.Result{Outcome: fleet.OutcomeFailed})
			}
			h, _ := f.Pick(plainRequest)
			Expect(h.Endpoint.ID).To(Equal("far"))
			h.Done(fleet.Result{})
			time.Sleep(10 * time.Second)
			h, _ = f.Pick(plainRequest)
			Expect(h.Endpoint.ID).To(Equal("bad"))
		})
	})

	It("uses an endpoint that fails if there is no other", func() {
		f := fleet.New(fleet.Options{Hall: "ikeja"})
		f.Put(fleet.Endpoint{ID: "bad", Service: "s", Hall: "ikeja", Slots: 4})
		for range 9 {
			h, ok := f.Pick(plainRequest)
			Expect(ok).To(BeTrue())
			h.Done(fleet.Result{Outcome: fleet.OutcomeFailed})
		}
	})
})

var _ = Describe("the list of endpoints", func() {
	It("removes entries at once if removed, and after a grace period if lapsed", func() {
		suite.Paused(func() {
			f := newFleet()
			f.Remove("e0")
			Expect(f.Size()).To(Equal(5))
			f.Lapse("e1")
			Expect(f.Sweep()).To(BeEmpty())
			time.Sleep(2100 * time.Millisecond)
			Expect(f.Sweep()).To(Equal([]string{"e1"}))
			Expect(f.Size()).To(Equal(4))
		})
	})

	It("keeps an endpoint that is listed again within the grace period", func() {
		suite.Paused(func() {
			f := newFleet()
			f.Lapse("e1")
			time.Sleep(time.Second)
			f.Put(fleet.Endpoint{ID: "e1", Service: "s", Hall: "ikeja", Version: "v1", Slots: 4})
			time.Sleep(3 * time.Second)
			Expect(f.Sweep()).To(BeEmpty())
		})
	})

	It("is replaced in full, at once or with a grace period after an outage", func() {
		suite.Paused(func() {
			f := newFleet()
			one := []fleet.Endpoint{{ID: "e5", Service: "s", Hall: "lekki", Version: "v1", Slots: 4}}
			f.Reset(one, true)
			Expect(f.Size()).To(Equal(6))
			f.Reset(one, false)
			Expect(f.Size()).To(Equal(1))
		})
	})

	It("counts the versions of endpoints that are not draining", func() {
		f := newFleet()
		f.Put(fleet.Endpoint{ID: "new", Service: "s", Version: "v2"})
		f.Put(fleet.Endpoint{ID: "e0", Service: "s", Version: "v1", Draining: true})
		Expect(f.Versions("s")).To(Equal(map[string]int{"v1": 5, "v2": 1}))
	})
})
