package capacity_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/capacity"
	"quaybarrow/internal/clock"
	"quaybarrow/internal/standin/suite"
)

func TestSuite(t *testing.T) { suite.Run(t, "capacity") }

// start is the time of the first plan.
var start = clock.At(time.Unix(1_000_000, 0))

// scaling is the scaling of a service in three data halls.
var scaling = capacity.Scaling{Least: 1, Most: 60, Boot: 4 * time.Second, SpotPrice: 0.2, Prices: map[string]float64{"a": 1, "b": 1, "c": 1}}

// ordinaryOnly is the same without spot endpoints.
var ordinaryOnly = capacity.Scaling{Least: 1, Most: 60, Boot: 4 * time.Second, Prices: scaling.Prices}

func pool(hall string, spot bool) capacity.Pool { return capacity.Pool{Hall: hall, Spot: spot} }

// inEachHall returns the same counts for all data halls.
func inEachHall(s capacity.EndpointCounts) map[string]capacity.EndpointCounts {
	return map[string]capacity.EndpointCounts{"a": s, "b": s, "c": s}
}

// simulation is a service whose orders are carried out: ordered endpoints serve after the boot time.
type simulation struct {
	scaling         capacity.Scaling
	planner         *capacity.Planner
	now             clock.Instant
	serving         map[string]capacity.EndpointCounts
	booting         []booting
	spotUnavailable map[string]bool // data halls in which no spot endpoints are available
	cost            float64         // in seconds of an ordinary endpoint
}

// booting describes ordered endpoints that do not serve yet.
type booting struct {
	pool  capacity.Pool
	count int
	at    clock.Instant
}

func newSimulation(s capacity.Scaling, serving map[string]capacity.EndpointCounts) *simulation {
	return &simulation{scaling: s, planner: capacity.NewPlanner(), now: start, serving: serving, spotUnavailable: map[string]bool{}}
}

// countServing returns the numbers of all serving endpoints and of the spot ones among them.
func (s *simulation) countServing() (all, spot int) {
	for _, counts := range s.serving {
		all, spot = all+counts.Ordinary+counts.Spot, spot+counts.Spot
	}
	return all, spot
}

// step simulates one second with a number of running requests.
func (s *simulation) step(running float64) {
	s.now = s.now.Add(time.Second)
	var later []booting
	for _, b := range s.booting {
		if s.now.Before(b.at) {
			later = append(later, b)
			continue
		}
		s.set(b.pool, b.count)
	}
	s.booting = later
	for _, o := range s.planner.Orders(s.now, capacity.State{Scaling: s.scaling, Slots: 64, Running: running, Serving: s.serving}) {
		if o.Spot && s.spotUnavailable[o.Hall] {
			s.planner.RecordUnavailable(o, s.now)
			continue
		}
		s.planner.RecordAccepted(o)
		s.set(o.Pool, min(o.Count, s.count(o.Pool)))
		s.booting = append(s.booting, booting{o.Pool, o.Count, s.now.Add(s.scaling.Boot)})
	}
	all, spot := s.countServing()
	s.cost += float64(all-spot) + s.scaling.SpotPrice*float64(spot)
}

func (s *simulation) count(p capacity.Pool) int {
	if p.Spot {
		return s.serving[p.Hall].Spot
	}
	return s.serving[p.Hall].Ordinary
}

func (s *simulation) set(p capacity.Pool, count int) {
	counts := s.serving[p.Hall]
	if p.Spot {
		counts.Spot = count
	} else {
		counts.Ordinary = count
	}
	s.serving[p.Hall] = counts
}

// reclaimSpot removes all spot endpoints of a data hall and makes new ones unavailable there.
func (s *simulation) reclaimSpot(hall string) {
	s.spotUnavailable[hall] = true
	s.set(pool(hall, true), 0)
	s.booting = nil
}

var _ = Describe("orders of endpoints", func() {
	It("decrease to what the load needs, mostly spot endpoints", func() {
		p := newSimulation(scaling, inEachHall(capacity.EndpointCounts{Ordinary: 30}))
		for range 60 {
			p.step(280)
		}
		all, spot := p.countServing()
		Expect(float64(all-spot)+scaling.SpotPrice*float64(spot)).To(BeNumerically("<", 30), "a third of the cost of before")
		Expect(spot).To(BeNumerically(">", all*2/3))
		Expect(280.0 / float64(all)).To(BeNumerically("<", 64*0.25))
		Expect(p.cost).To(BeNumerically("<", 90*60/2))
	})

	It("release no endpoint before others serve in its place", func() {
		p := newSimulation(scaling, inEachHall(capacity.EndpointCounts{Ordinary: 30}))
		for range 60 {
			p.step(280)
			all, _ := p.countServing()
			Expect(280.0 / float64(all)).To(BeNumerically("<", 64*0.4))
		}
	})

	It("leave enough endpoints if all spot endpoints of one or of all data halls are lost", func() {
		p := newSimulation(scaling, inEachHall(capacity.EndpointCounts{Ordinary: 30}))
		for range 60 {
			p.step(280)
		}
		p.reclaimSpot("a")
		all, _ := p.countServing()
		Expect(280.0 / float64(all)).To(BeNumerically("<", 64*0.3))
		p.reclaimSpot("b")
		p.reclaimSpot("c")
		all, _ = p.countServing()
		Expect(280.0 / float64(all)).To(BeNumerically("<", 64))
		for range 8 {
			p.step(280)
		}
		all, _ = p.countServing()
		Expect(280.0 / float64(all)).To(BeNumerically("<", 64*0.25))
	})

	// A data hall was lost and came back cold, and the traffic jumped, while no host sent orders. The
	// endpoints of the other data halls had 35 of 64 slots in use, and a third of the requests were
	// late.
	It("leave enough endpoints if a data hall is lost in a burst and no orders are sent", func() {
		p := newSimulation(scaling, inEachHall(capacity.EndpointCounts{Ordinary: 30}))
		for range 60 {
			p.step(320)
		}
		delete(p.serving, "a")
		all, _ := p.countServing()
		Expect(1.7 * 320 / float64(all)).To(BeNumerically("<", 64*0.2))
	})

	It("increase at once in a burst, and decrease long after it", func() {
		p := newSimulation(scaling, inEachHall(capacity.EndpointCounts{Ordinary: 30}))
		for range 60 {
			p.step(280)
		}
		before, _ := p.countServing()
		for range 6 {
			p.step(840)
		}
		all, _ := p.countServing()
		Expect(all).To(BeNumerically(">", 2*before))
		orders := 0
		for range 120 {
			orders += len(p.planner.Orders(p.now.Add(time.Second), capacity.State{Scaling: scaling, Slots: 64, Running: 280, Serving: p.serving}))
			p.step(280)
		}
		all, _ = p.countServing()
		Expect(all).To(BeNumerically("<", before*5/4))
		Expect(orders).To(BeNumerically("<", 6*8))
	})

	It("do not flap if the load comes in waves", func() {
		p := newSimulation(scaling, inEachHall(capacity.EndpointCounts{Ordinary: 30}))
		orders := 0
		for i := range 180 {
			running := 280.0
			if i/6%2 == 0 {
				running = 180
			}
			if i > 60 {
				orders += len(p.planner.Orders(p.now.Add(time.Second), capacity.State{Scaling: scaling, Slots: 64, Running: running, Serving: p.serving}))
			}
			p.step(running)
		}
		Expect(orders).To(BeNumerically("<", 6))
	})

	It("are for ordinary endpoints if there are no spot ones, within the declared bounds", func() {
		p := newSimulation(ordinaryOnly, inEachHall(capacity.EndpointCounts{Ordinary: 30}))
		for range 60 {
			p.step(280)
		}
		Expect(p.serving["a"]).To(Equal(capacity.EndpointCounts{Ordinary: 11}))
		for range 20 {
			p.step(100_000)
		}
		Expect(p.serving["a"]).To(Equal(capacity.EndpointCounts{Ordinary: 60}))
		for range 900 {
			p.step(1)
		}
		Expect(p.serving["a"]).To(Equal(capacity.EndpointCounts{Ordinary: 1}))
	})

	It("keep all endpoints of the version in force during an upgrade", func() {
		planner := capacity.NewPlanner()
		s := capacity.State{Scaling: scaling, Slots: 64, Running: 280, Serving: inEachHall(capacity.EndpointCounts{Ordinary: 30}), Upgrading: true}
		Expect(planner.Orders(start, s)).To(BeEmpty())
		s.Serving = inEachHall(capacity.EndpointCounts{Ordinary: 30, Newer: 30})
		Expect(planner.Orders(start.Add(time.Second), s)).To(BeEmpty())
		lowered := planner.Orders(start.Add(9*time.Second), s)
		Expect(lowered).To(HaveLen(3))
		for _, o := range lowered {
			Expect(o.Count).To(Equal(41))
			planner.RecordAccepted(o)
		}
		// The upgrade is completed: the old endpoints are gone at once, and not ordered again.
		s.Upgrading, s.Serving = false, inEachHall(capacity.EndpointCounts{Ordinary: 11})
		orders := planner.Orders(start.Add(10*time.Second), s)
		Expect(orders).To(ContainElement(capacity.Order{Pool: pool("a", false), Count: 15})) // until spot endpoints serve
	})

	It("keep the new version if endpoints of the one in force are down for a moment", func() {
		planner := capacity.NewPlanner()
		s := capacity.State{Scaling: scaling, Slots: 64, Running: 280, Serving: inEachHall(capacity.EndpointCounts{Ordinary: 30, Newer: 30}), Upgrading: true}
		for at := range 10 {
			for _, o := range planner.Orders(start.Add(time.Duration(at)*time.Second), s) {
				planner.RecordAccepted(o)
			}
		}
		s.Serving = inEachHall(capacity.EndpointCounts{Ordinary: 20, Newer: 11})
		for at := range 10 {
			Expect(planner.Orders(start.Add(time.Duration(10+at)*time.Second), s)).To(BeEmpty())
		}
	})

	It("increase with the load during an upgrade", func() {
		planner := capacity.NewPlanner()
		s := capacity.State{Scaling: scaling, Slots: 64, Running: 280, Serving: inEachHall(capacity.EndpointCounts{Ordinary: 4}), Upgrading: true}
		Expect(planner.Orders(start, s)).To(ContainElement(capacity.Order{Pool: pool("a", false), Count: 11}))
		s.Serving = inEachHall(capacity.EndpointCounts{Ordinary: 4, Newer: 4})
		Expect(planner.Orders(start.Add(time.Second), s)).To(ContainElement(capacity.Order{Pool: pool("a", false), Count: 15}))
	})

	It("omit evacuated data halls and have the others carry their load", func() {
		planner := capacity.NewPlanner()
		s := capacity.State{Scaling: ordinaryOnly, Slots: 64, Running: 280, Serving: inEachHall(capacity.EndpointCounts{Ordinary: 11}), ExcludedHalls: []string{"c"}}
		orders := planner.Orders(start, s)
		Expect(orders).To(Equal([]capacity.Order{{Pool: pool("a", false), Count: 22}, {Pool: pool("b", false), Count: 22}}))
	})

	It("release nothing while little of the load has been seen, as after all hosts were killed", func() {
		planner := capacity.NewPlanner()
		s := capacity.State{Scaling: scaling, Slots: 64, Serving: inEachHall(capacity.EndpointCounts{Ordinary: 4, Spot: 8})}
		for at := range 8 {
			s.Running = float64(20 * at)
			for _, o := range planner.Orders(start.Add(time.Duration(at)*time.Second), s) {
				Expect(o.Count).To(BeNumerically(">", 4), "%v", o)
			}
		}
	})

	It("are not made while the load is unknown", func() {
		s := capacity.State{Scaling: scaling, Slots: 64, Serving: inEachHall(capacity.EndpointCounts{Ordinary: 30})}
		Expect(capacity.NewPlanner().Orders(start, s)).To(BeEmpty())
	})

	It("are not repeated at once if no endpoints were available", func() {
		planner := capacity.NewPlanner()
		s := capacity.State{Scaling: ordinaryOnly, Slots: 64, Running: 280, Serving: map[string]capacity.EndpointCounts{"a": {}}}
		orders := planner.Orders(start, s)
		Expect(orders).To(HaveLen(1))
		planner.RecordUnavailable(orders[0], start)
		Expect(planner.Orders(start.Add(time.Second), s)).To(BeEmpty())
		Expect(planner.Orders(start.Add(6*time.Second), s)).To(HaveLen(1))
	})
})
